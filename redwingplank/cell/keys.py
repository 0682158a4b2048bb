"""Where a cell keeps what lasts in the store."""

__all__ = [
    "CANCELS_PREFIX",
    "INTAKE_PREFIX",
    "JOBS_PREFIX",
    "LEARNED_KEY",
    "NODES_PREFIX",
    "OWNER_KEY",
    "PROGRESS_PREFIX",
    "SEQUENCE_KEY",
    "SYSTEM_PREFIX",
    "TERM_KEY",
]

SYSTEM_PREFIX = "redwing/system/"
NODES_PREFIX = "redwing/system/nodes/"
"""One key for each live node, under its lease."""
OWNER_KEY = "redwing/system/owner"
"""Who owns the jobs, under the owner's lease."""
TERM_KEY = "redwing/system/term"
"""The newest term; every write of an owner depends on it."""
SEQUENCE_KEY = "redwing/sequence"
"""Changed by each write of an owner, so that a write that comes late finds it changed."""
INTAKE_PREFIX = "redwing/intake/"
JOBS_PREFIX = "redwing/intake/jobs/"
CANCELS_PREFIX = "redwing/intake/cancels/"
PROGRESS_PREFIX = "redwing/progress/"
LEARNED_KEY = "redwing/learned"
"""How fast kinds of worker are and how long images take, as the last owner learned it."""
