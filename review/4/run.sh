#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 there is no disruption, and the rule must hold.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
export PYTHONPATH=../../target/deps:../common PYTHONDONTWRITEBYTECODE=1
exec python3 case.py
