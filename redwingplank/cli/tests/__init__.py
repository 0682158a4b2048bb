"""Tests of redwingplank.cli."""
