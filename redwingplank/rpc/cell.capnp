@0xa7d3e0c41f5b8692;
# Calls between the nodes of a cell, whose jobs are kept in the platform's store.

struct Ticket {
  worker @0 :Text;
  text @1 :Text;
}

interface Cell {
  jobState @0 (jobId :Text) -> (isOwner :Bool, state :Text);
  # The state is empty if the owner does not know the job.
  cancel @1 (jobId :Text)
    -> (isOwner :Bool, isKnown :Bool, isStored :Bool, term :UInt64, state :Text);
  # `term` is the epoch of the owner, `state` that of the job after the cancellation.
  pending @2 (queue :Text) -> (isOwner :Bool, count :UInt32);
  advise @3 (jobId :Text, occurrence :UInt32, step :UInt32, workers :List(Text),
             timeoutS :Float64) -> (isAnswered :Bool, tickets :List(Ticket));
  submit @4 (jobId :Text, submission :Data, timeoutS :Float64) -> (end :Text);
  # Stores a job for a peer that cannot reach the store; `end` names the outcome.
  isRefused @5 (address :Text) -> (isRefused :Bool);
  # Returns whether the address refuses connections from the called node.
  jobStateFor @6 (jobId :Text, organisation :Text) -> (isOwner :Bool, state :Text);
  cancelFor @7 (jobId :Text, organisation :Text)
    -> (isOwner :Bool, isKnown :Bool, isStored :Bool, term :UInt64, state :Text);
  # The same as `jobState` and `cancel`, but a job of another organisation is answered as unknown.
  # They are methods of their own, so that a node which does not know them fails the call instead
  # of serving it without the check.
  noteUnresolved @8 (jobId :Text) -> ();
  # Tells a node that a submission through another one has an unknown outcome.
}
