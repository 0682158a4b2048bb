@0xb4c9a1f27d3e8561;
# Calls to the candidates and owners of shards.

struct Resources {
  millicores @0 :Int64;
  memoryMib @1 :Int64;
  accelerators @2 :List(Accelerators);
}

struct Accelerators {
  kind @0 :Text;
  count @1 :UInt32;
}

struct JobSpec {
  jobId @0 :Text;
  organisation @1 :Text;
  service @2 :Text;
  taskCount @3 :UInt32;
  hasResources @4 :Bool;
  resources @5 :Resources;
  runTimeS @6 :Float64;
  # In seconds; negative if the job has the run time that its service declares.
  payload @7 :Data;
}

struct SubmitAnswer {
  jobId @0 :Text;
  outcome @1 :Text;
  detail @2 :Text;
  retryAfterS @3 :Float64;
}

struct TaskStatus {
  taskId @0 :Text;
  state @1 :Text;
  attempt @2 :UInt32;
  worker @3 :Text;
  reason @4 :Text;
  result @5 :Data;
  waitedS @6 :Float64;
}

struct JobStatus {
  jobId @0 :Text;
  organisation @1 :Text;
  service @2 :Text;
  state @3 :Text;
  reason @4 :Text;
  tasks @5 :List(TaskStatus);
}

struct ShardSummary {
  shard @0 :Text;
  free @1 :Resources;
  capacity @2 :Resources;
  waitingByClass @3 :List(UInt32);
  predictedWaitSByClass @4 :List(Float64);
  runningCount @5 :UInt32;
  workerCount @6 :UInt32;
  openWorkerCount @7 :UInt32;
  quarantinedCount @8 :UInt32;
}

struct Owner {
  shard @0 :Text;
  address @1 :Text;
  epoch @2 :UInt64;
}

struct Answer {
  # The answer to every call to a shard, and to drain.
  union {
    notOwner @0 :Owner;
    # The call had no effect; names the owner known to the called process.
    outcomeUnknown @1 :Text;
    # The owner of the shard changed during the call.
    submit @2 :SubmitAnswer;
    isKnown @3 :Bool;
    # Answer to cancel: whether the shard knows the job.
    status @4 :StatusAnswer;
    lines @5 :List(Text);
    summary @6 :ShardSummary;
    done @7 :Void;
  }
}

struct StatusAnswer {
  isKnown @0 :Bool;
  status @1 :JobStatus;
  version @2 :UInt64;
}

interface Scheduler {
  submit @0 (shard :Text, spec :JobSpec) -> (answer :Answer);
  cancel @1 (shard :Text, jobId :Text) -> (answer :Answer);
  status @2 (shard :Text, jobId :Text, knownVersion :UInt64, waitS :Float64) -> (answer :Answer);
  explain @3 (shard :Text, id :Text) -> (answer :Answer);
  summary @4 (shard :Text) -> (answer :Answer);
  drain @5 (vm :Text, isDraining :Bool) -> (answer :Answer);
  owners @6 () -> (owners :List(Owner));
}
