"""Builds ``target/deps``, which ``start_host.py`` starts a host from."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from foxtailseam.installation import main  # noqa: E402

sys.exit(main(ROOT))
