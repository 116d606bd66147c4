#!/usr/bin/env bash
# Sets up and runs a small deployment on loopback, with a few real queries.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh
exec .venv/bin/python -m foxtailseam_bench.demo
