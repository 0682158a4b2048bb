@0xd3a1c6c2b7e94f10;
# The bootstrap interface: the first call on every connection between two processes.

interface Node {
  open @0 (version :UInt32, service :Text) -> (version :UInt32, capability :Capability);
  # Returns the capability of one service of the process. Fails if the process does not support
  # the caller's message version or does not offer the service.
}
