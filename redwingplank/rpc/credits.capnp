@0x9c3f5be210a7d684;
# Exchange of slot credits between the entries of a failure domain.

# Tables of counts by name are encoded as MessagePack maps: one item of a Cap'n Proto list costs
# as much as a whole table in MessagePack.

struct ServiceUse {
  service @0 :Text;
  inFlight @1 :UInt32;
  waiting @2 :UInt32;
  idle @3 :UInt32;
}

struct Report {
  entry @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  epoch @3 :UInt64;
  held @4 :Data;
  # Credits by upstream.
  uses @5 :List(ServiceUse);
  isFrozen @6 :Bool;
  isLast @7 :Bool;
}

struct Peer {
  entry @0 :Text;
  idle @1 :Data;
  # Idle credits by service.
  waiting @2 :UInt32;
}

struct Grant {
  epoch @0 :UInt64;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  credits @3 :Data;
  # Credits by upstream.
  isFrozen @4 :Bool;
  peers @5 :List(Peer);
}

interface Credits {
  exchange @0 (report :Report) -> (isAnswered :Bool, grant :Grant);
  # Long poll: answered once the grant differs from the credits that the entry holds, or after a
  # time limit.
}
