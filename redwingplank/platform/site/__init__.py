"""Clients of the users' platform; they translate its names and formats into the project's types."""
