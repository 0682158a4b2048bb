"""Tests of redwingplank.runtime."""
