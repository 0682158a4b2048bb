"""Tests of redwingplank.routing."""
