"""Decides which task of which job runs where and when, for jobs made of steps."""
