@0xe1f0a4b87c2d9356;
# Calls to the process that records the orders of a shard, which run at most once.

struct OrderKey {
  organisation @0 :Text;
  service @1 :Text;
  key @2 :Text;
}

struct OrderClaim {
  key @0 :OrderKey;
  claimId @1 :Text;
  entry @2 :Text;
  bodyDigest @3 :Text;
  timeoutS @4 :Float64;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct StoredAnswer {
  status @0 :UInt16;
  headers @1 :List(Header);
  body @2 :Data;
}

struct ClaimAnswer {
  outcome @0 :Text;
  # "not_home" if the called process does not own the shard now.
  hasAnswer @1 :Bool;
  answer @2 :StoredAnswer;
}

struct OrderReport {
  key @0 :OrderKey;
  claimId @1 :Text;
  end @2 :Text;
  hasAnswer @3 :Bool;
  answer @4 :StoredAnswer;
}

interface Orders {
  look @0 (shard :Text, claim :OrderClaim) -> (answer :ClaimAnswer);
  # Returns what is known of an order without claiming it; waits for one that runs.
  claim @1 (shard :Text, claim :OrderClaim) -> (answer :ClaimAnswer);
  report @2 (shard :Text, report :OrderReport) -> (isTaken :Bool);
  # Reports the completion of an order; isTaken tells whether the report was accepted.
}
