"""Runs a stand-in: ``python -m foxtailseam_bench.serve KIND ARGUMENT``."""

import asyncio
import sys
from pathlib import Path

import msgspec

from foxtailseam_bench.platform_service import serve_platform
from foxtailseam_bench.searcher import SearcherSpec, serve_searchers


def main(arguments: list[str]) -> None:
    """Serve the platform at an address, or the searchers of a JSON file."""
    kind, argument = arguments
    if kind == "platform":
        asyncio.run(serve_platform(argument))
        return
    content = Path(argument).read_bytes()
    specs = msgspec.json.decode(content, type=list[SearcherSpec])
    asyncio.run(serve_searchers(specs))


if __name__ == "__main__":
    main(sys.argv[1:])
