"""Tests of redwingplank.standin."""
