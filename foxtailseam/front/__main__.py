"""Starts the process of a host: ``python -m foxtailseam.front``."""

import sys

from foxtailseam.front import run_host

sys.exit(run_host())
