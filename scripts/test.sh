#!/usr/bin/env bash
# Sets up the environment, then checks format and lint and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh
exec .venv/bin/python scripts/run_tests.py "$@"
