"""Tests of redwingplank.api."""
