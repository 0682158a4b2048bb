"""Support code for the steps of the scenarios."""
