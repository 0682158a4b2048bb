"""A node of a cell on the users' platform: serves callers, and can own the cell's jobs."""
