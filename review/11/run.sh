#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
export PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1
timeout -k 5 110 python3 review/11/case.py
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
