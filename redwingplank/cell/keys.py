"""Store keys and key prefixes of a cell."""

__all__ = [
    "CANCELS_PREFIX",
    "EPOCH_KEY",
    "INTAKE_PREFIX",
    "JOBS_PREFIX",
    "LEARNED_KEY",
    "LEASES_KEY",
    "NODES_PREFIX",
    "OWNER_KEY",
    "PROGRESS_PREFIX",
    "SEQUENCE_KEY",
    "SYSTEM_PREFIX",
]

SYSTEM_PREFIX = "redwing/system/"
NODES_PREFIX = "redwing/system/nodes/"
"""One key for each live node, attached to the node's lease."""
OWNER_KEY = "redwing/system/owner"
"""The current owner of the jobs, attached to the owner's lease."""
EPOCH_KEY = "redwing/system/term"
"""The newest epoch and its owner; every write of an owner is conditional on this key. Stored as
"term"."""
SEQUENCE_KEY = "redwing/sequence"
"""Changed by each record write of an owner and required to be unchanged since the last one, so that
a delayed copy of a write has no effect."""
INTAKE_PREFIX = "redwing/intake/"
"""Common prefix of submitted jobs and stored cancellations, so that one watch follows both."""
JOBS_PREFIX = "redwing/intake/jobs/"
CANCELS_PREFIX = "redwing/intake/cancels/"
PROGRESS_PREFIX = "redwing/progress/"
LEASES_KEY = "redwing/leases"
"""Written once every lease from before a series of owners that bound their leases has expired."""
LEARNED_KEY = "redwing/learned"
"""Learned speeds of workers and worker kinds and of tasks by image or queue, as last stored."""
