"""Runs the command-line interface with ``python -m foxtailseam``."""

import sys

from foxtailseam.cli import main

sys.exit(main())
