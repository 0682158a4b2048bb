"""Keys of a shard's journal, all below the prefix of the shard."""

__all__ = ["base_key", "base_prefix", "head_key", "log_key", "log_segment_prefix"]


def head_key(prefix: str) -> str:
    """Return the key that names the valid snapshot."""
    return f"{prefix}head"


def base_prefix(prefix: str, segment: int) -> str:
    """Return the prefix of the parts of the snapshot that opened `segment`."""
    return f"{prefix}base/{segment:010d}/"


def base_key(prefix: str, segment: int, part: int) -> str:
    """Return the key of one part of a snapshot."""
    return f"{base_prefix(prefix, segment)}{part:06d}"


def log_segment_prefix(prefix: str, segment: int) -> str:
    """Return the prefix of one log segment."""
    return f"{prefix}log/{segment:010d}/"


def log_key(prefix: str, segment: int, number: int) -> str:
    """Return the key of one flush in a log segment."""
    return f"{log_segment_prefix(prefix, segment)}{number:010d}"
