"""Input and output around the decision packages, for each role."""
