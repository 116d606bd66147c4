"""Runs the process of a host in which a function fails, for tests of what goes on.

``python -m foxtailseam_bench.failing_host MODULE:CLASS.METHOD COUNT``; the first COUNT
calls of the method raise.
"""

import functools
import importlib
import inspect
import sys
from collections.abc import Callable

from foxtailseam.front import run_host

PROBLEM = "brought about by the test"


def make_failing(path: str, count: int) -> None:
    """Let the first calls of a method raise.

    Parameters
    ----------
    path : str
        ``MODULE:CLASS.METHOD``.
    count : int
        Number of calls that raise.
    """
    module, _, name = path.partition(":")
    class_name, _, method_name = name.partition(".")
    owner = getattr(importlib.import_module(module), class_name)
    setattr(owner, method_name, _failing(getattr(owner, method_name), count))


def _failing(method: Callable, count: int) -> Callable:
    calls = iter(range(count))

    @functools.wraps(method)
    def fail_or_call(*args, **kwargs):
        if next(calls, None) is not None:
            raise RuntimeError(PROBLEM)
        return method(*args, **kwargs)

    @functools.wraps(method)
    async def fail_or_await(*args, **kwargs):
        return await fail_or_call(*args, **kwargs)

    return fail_or_await if inspect.iscoroutinefunction(method) else fail_or_call


if __name__ == "__main__":
    make_failing(sys.argv[1], int(sys.argv[2]))
    sys.exit(run_host())
