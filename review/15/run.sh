#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# With TROUBLE=0 it does the same without the disturbance.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
export PYTHONPATH=target/deps:.:review/common-2
exec python3 review/15/case.py
