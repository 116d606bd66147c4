#!/usr/bin/env bash
# Runs the case of a folder: run_case.sh FOLDER
set -euo pipefail
cd "$(dirname "$0")/.."
exec env PYTHONPATH="target/deps:$PWD" python3 -P "review/$1/case.py"
