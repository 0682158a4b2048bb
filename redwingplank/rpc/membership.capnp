@0xb6f0d2c9a1e34751;
# Membership. Messages carry ages in milliseconds instead of times of day, because clocks of different
# nodes are not compared. Numbers of fields that are gone stay taken, so that nodes of the versions
# before and after can run side by side.

struct Evidence {
  # When a third node was last heard from.
  name @0 :Text;
  incarnation @1 :UInt64;
  ageMs @2 :UInt32;
}

struct VmWord {
  # The notice that a VM is leaving or dead.
  enum Kind {
    leaving @0;
    dead @1;
  }
  vm @0 :Text;
  kind @1 :Kind;
}

struct DomainView {
  # When another failure domain was last heard from.
  failureDomain @0 :Text;
  address @1 :Text;
  obsolete2 @2 :UInt64;
  ageMs @3 :UInt32;
}

struct Heartbeat {
  name @0 :Text;
  failureDomain @1 :Text;
  address @2 :Text;
  incarnation @3 :UInt64;
  sequence @4 :UInt64;
  obsolete5 @5 :UInt64;
  suspected @6 :List(Evidence);
  vouched @7 :List(Evidence);
  words @8 :List(VmWord);
  domains @9 :List(DomainView);
  isLeaving @10 :Bool;
  isSpeaker @11 :Bool;
  isStoreCutOff @12 :Bool;
}

struct DomainSummary {
  # State of a failure domain, exchanged between the speakers of failure domains.
  failureDomain @0 :Text;
  address @1 :Text;
  liveCount @2 :UInt32;
  leavingCount @3 :UInt32;
  obsolete4 @4 :UInt64;
}

struct NodeStatus {
  # Status report of a node to an operator.
  name @0 :Text;
  failureDomain @1 :Text;
  revision @2 :UInt64;
  isLeaving @3 :Bool;
  isWatching @4 :Bool;
  livePeers @5 :List(Text);
  liveUpstreams @6 :List(Text);
  cutOffFrom @7 :List(Text);
}

interface Membership {
  heartbeat @0 (heartbeat :Heartbeat) -> (answer :Heartbeat);
  summary @1 (summary :DomainSummary) -> (answer :DomainSummary);
  obsolete2 @2 () -> ();
  status @3 () -> (status :NodeStatus);
  mark @4 (word :VmWord) -> ();
  # Notifies the node that a VM is leaving or dead.
}
