"""Runs the process of a host that reaches searchers through relays only.

``python -m foxtailseam_bench.relayed_host RELAYS``; RELAYS is a JSON file with the
address of the relay by the address of the searcher.
"""

import asyncio
import json
import sys
from pathlib import Path

from foxtailseam.front import Host, read_settings
from foxtailseam.http import ConnectionPool


class RelayedHost(Host):
    """A host whose connections to searchers go through relays.

    Parameters
    ----------
    relays : dict of str to str
        ``IP:PORT`` of the relay by that of the searcher.
    **parameters
        Parameters of `Host`.
    """

    def __init__(self, relays: dict[str, str], **parameters):
        self.relays = relays
        super().__init__(**parameters)

    def _open_pool(self, address: str, limit: int) -> ConnectionPool:
        return super()._open_pool(self.relays.get(address, address), limit)


async def main() -> None:
    """Run the host until SIGTERM."""
    relays = json.loads(Path(sys.argv[1]).read_text())
    await RelayedHost(relays, settings=read_settings().unwrap()).run()


if __name__ == "__main__":
    asyncio.run(main())
