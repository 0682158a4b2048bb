#!/bin/sh
# A worker that goes down and up by turns. Exits with 1 if the rule was broken, 0 if it held, 2 if it could
# not run. TROUBLE=0 leaves the worker up.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../standins3 exec timeout -k 5 118 python3 scenario.py
