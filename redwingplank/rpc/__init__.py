"""Messages between the system's processes."""
