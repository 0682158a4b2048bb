"""Stand-ins for the platform's services and VMs, in process and over HTTP."""
