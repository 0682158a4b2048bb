"""Input and output around the decision packages, for each program of a cell."""
