"""Tests that concern several packages."""
