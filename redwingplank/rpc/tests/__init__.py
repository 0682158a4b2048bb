"""Tests of redwingplank.rpc."""
