"""Runs the command line: ``python -m foxtailseam``."""

import sys

from foxtailseam.cli import main

sys.exit(main())
