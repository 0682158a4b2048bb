#!/bin/sh
# One accepted job whose occurrences overlap. Exits with 1 if the rule was broken, 0 if it held, 2
# if it could not run. TROUBLE=0 submits the same tasks to run once.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../standins3 exec timeout -s INT -k 5 118 python3 scenario.py
