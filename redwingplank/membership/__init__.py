"""VMs, upstreams and peers: heartbeats, leaving, suspicion and summaries."""
