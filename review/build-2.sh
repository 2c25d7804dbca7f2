#!/usr/bin/env bash
# Builds the stand-ins of the scripts 6 to 10, after the build of the deploy
# file. They are Python modules that use the packages in target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q standins/ports.py standins/platform review/common-2
