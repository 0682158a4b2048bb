"""Development commands: documentation tables, the test runner and a local cell."""
