"""Tests of redwingplank.config."""
