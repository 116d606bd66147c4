#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start besides the hosts: the stand-ins
# need Python 3.11 or newer and its standard library only, so they are just compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import sys
from pathlib import Path

assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"
for path in sorted([*Path("stand_ins").glob("*.py"), *Path().glob("[0-9]*/case.py")]):
    compile(path.read_text(), str(path), "exec")
PYTHON
