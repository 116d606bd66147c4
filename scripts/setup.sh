#!/usr/bin/env bash
# Creates .venv and installs the project with its bench and test dependencies.
# Does nothing if pyproject.toml has not changed since the last installation.
set -euo pipefail
cd "$(dirname "$0")/.."
python=${PYTHON:-python3}
[ -x .venv/bin/python ] || "$python" -m venv .venv
stamp=.venv/.installed
if ! cmp -s pyproject.toml "$stamp"; then
    .venv/bin/python -m pip install --quiet --disable-pip-version-check \
        --editable '.[bench,test]' 2> .venv/install.log || {
        cat .venv/install.log >&2
        exit 1
    }
    cp pyproject.toml "$stamp"
fi
