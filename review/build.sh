#!/usr/bin/env bash
# Builds the stand-ins of the review and those of the project: compiles them.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q foxtailseam_bench review
