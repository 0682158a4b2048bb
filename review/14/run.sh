#!/bin/sh
# A start is carried out late by a worker that was cut off and started again. Exits with 1 if the
# rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 neither holds a start back, nor
# cuts a worker off, nor restarts it.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../standins3 exec timeout -s INT -k 5 118 python3 scenario.py
