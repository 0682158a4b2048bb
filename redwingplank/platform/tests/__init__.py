"""Tests of redwingplank.platform."""
