"""Starts the process of a host from ``target/deps``: ``start_host.py IP:PORT``.

Finds the packages by its own place, whatever the search path in the environment is.
"""

import sys
from os.path import abspath, dirname, join

ROOT = dirname(dirname(abspath(__file__)))
PACKAGES = join(ROOT, "target", "deps")
sys.path.insert(0, PACKAGES)
# Tells what is missing where nothing has been built.
sys.path.append(ROOT)

from foxtailseam.launch.__main__ import main  # noqa: E402

sys.exit(main(PACKAGES))
