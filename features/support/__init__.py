"""What the scenarios share."""
