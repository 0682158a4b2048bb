#!/bin/sh
# A route is removed while a job that was accepted there runs. Exits with 1 if the rule was broken, 0 if it held, 2 if it could
# not run. TROUBLE=0 stores a version that keeps the route.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../standins3 exec timeout -k 5 118 python3 scenario.py
