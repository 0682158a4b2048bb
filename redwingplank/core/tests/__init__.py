"""Tests of redwingplank.core."""
