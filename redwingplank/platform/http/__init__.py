"""Adapters that speak HTTP to the platform."""
