"""Tests of redwingplank.scheduling."""
