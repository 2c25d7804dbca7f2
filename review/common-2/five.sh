#!/usr/bin/env bash
# Runs a case five times, then once without its disturbance.
cd "$(dirname "$0")/../.." || exit 2
failed=0
for _ in 1 2 3 4 5; do
    bash "review/$1/run.sh" >/dev/null 2>&1
    status=$?
    echo "case $1: status $status"
    [ "$status" -eq 1 ] && failed=$((failed + 1))
done
echo "case $1: broken in $failed of 5 runs"
TROUBLE=0 bash "review/$1/run.sh" >/dev/null 2>&1
echo "case $1 with TROUBLE=0: status $?"
bash "review/$1/run.sh" >/dev/null 2>&1
echo "case $1, last run, whose record is kept: status $?"
