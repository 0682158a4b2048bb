"""Tests of redwingplank.membership."""
