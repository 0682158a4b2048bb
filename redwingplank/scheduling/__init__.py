"""Task decisions: queues, fair share, placement, gangs, leases and recovery."""
