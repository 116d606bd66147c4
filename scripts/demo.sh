#!/usr/bin/env bash
# Sets up the environment and runs the demonstration: a small deployment on the
# loopback interface that answers a few requests.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh
exec .venv/bin/python -m foxtailseam_bench.demo
