"""Runs a test double: ``python -m foxtailseam_bench.serve KIND ARGUMENT``.

KIND is ``platform`` with an ``IP:PORT`` address, or ``searchers`` with the path of a
JSON file that lists the searchers.
"""

import asyncio
import sys
from pathlib import Path

import msgspec

from foxtailseam_bench.platform_service import serve_platform
from foxtailseam_bench.searcher import SearcherSpec, serve_searchers


def main(arguments: list[str]) -> None:
    """Serve the platform at an address, or the searchers of a JSON file.

    `arguments` are the kind and its argument, as on the command line.
    """
    kind, argument = arguments
    if kind == "platform":
        asyncio.run(serve_platform(argument))
        return
    content = Path(argument).read_bytes()
    specs = msgspec.json.decode(content, type=list[SearcherSpec])
    asyncio.run(serve_searchers(specs))


if __name__ == "__main__":
    main(sys.argv[1:])
