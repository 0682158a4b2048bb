"""Schedules jobs made of steps: decides which task runs when and on which worker."""
