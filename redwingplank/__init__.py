"""A cluster scheduler for unlike workloads, run by declarations kept in version control."""

__all__ = ["__version__"]

__version__ = "0.1.0"
