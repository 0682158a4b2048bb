"""Behave scenarios that run the real programs as separate processes."""
