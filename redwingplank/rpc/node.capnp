@0xd3a1c6c2b7e94f10;
# The first call on every connection between two processes of the system.

interface Node {
  open @0 (version :UInt32, service :Text) -> (version :UInt32, capability :Capability);
  # Returns the capability of one service of the process, or an error when the caller's message
  # version is not spoken here or the process does not offer the service.
}
