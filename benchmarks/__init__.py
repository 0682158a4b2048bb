"""Benchmarks with bounds from the stated target.

Classes follow the asv conventions: ``params``, ``param_names``, ``setup``, ``teardown`` and methods
that begin with ``time_``, ``track_`` or ``peakmem_``. ``python -m benchmarks`` runs them.

References
----------
airspeed velocity, writing benchmarks: https://asv.readthedocs.io/en/stable/writing_benchmarks.html
"""
