"""Command-line programs of the scheduler, with one entry module for each program."""
