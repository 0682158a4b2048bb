"""Benchmarks whose results are checked against bounds from the stated target.

The classes follow the conventions of asv: ``params``, ``param_names``, ``setup``, ``teardown`` and
methods that begin with ``time_``, ``track_`` or ``peakmem_``. ``python -m benchmarks`` runs them.

References
----------
airspeed velocity, writing benchmarks: https://asv.readthedocs.io/en/stable/writing_benchmarks.html
"""
