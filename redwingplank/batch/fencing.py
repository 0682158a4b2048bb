"""Fencing tokens of the commands that an owner sends to workers.

A worker refuses tokens below the highest one that it has received. Each epoch has a range of
tokens. An owner that sees a worker restart uses the next one there, so that the new process refuses
what was meant for the one before it.
"""

__all__ = ["TOKENS_PER_EPOCH", "first_token", "next_epoch"]

TOKENS_PER_EPOCH = 256
"""An owner that sees a worker restart so often begins a new epoch."""


def next_epoch(latest: int) -> int:
    """Return the number of the epoch after one, which is the last token of its range.

    Owners of earlier versions take the number after the latest one, and use it as their only token.
    """
    return latest + TOKENS_PER_EPOCH


def first_token(epoch: int) -> int:
    """Return the first token of the range of an epoch."""
    return epoch - TOKENS_PER_EPOCH + 1
