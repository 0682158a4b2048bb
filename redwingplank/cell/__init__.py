"""Runs a node of a cell on the users' platform: callers' interface, and owner of the jobs."""
