"""Mutation test of the scenarios: disables one mechanism of the product at a time.

Each mutation replaces one text in a temporary copy of the product and runs the
scenarios that cover the mechanism. It is detected if at least one of them fails.
"""

import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MAX_PARALLEL_MUTATIONS = 3


@dataclass(frozen=True)
class Mutation:
    """A replacement in one module that disables a mechanism.

    Parameters
    ----------
    tag : str
        Tag of the scenarios that cover the mechanism, without ``@``.
    mechanism : str
        Description of the mechanism that is disabled.
    path : str
        File of the module, relative to the product package.
    old, new : str
        Text to replace, and its replacement.
    scenario : str
        Regular expression that the names of the scenarios to run match.
    """

    tag: str
    mechanism: str
    path: str
    old: str
    new: str
    scenario: str


MUTATIONS = (
    Mutation(
        "snapshot",
        "sub-answers of another version are dropped",
        "searchers/_dispatcher.py",
        "if version == request.index_version:",
        "version = request.index_version\n                if True:",
        "searcher answers another version --",
    ),
    Mutation(
        "coverage",
        "an answer states its lacking shards",
        "outcomes/_merge.py",
        "coverage = Coverage(tuple(sorted(usable)), lacking)",
        "coverage = Coverage(tuple(sorted(reasons)), ())",
        "shard killed --",
    ),
    Mutation(
        "own-answer",
        "an answer must carry the request's identifier",
        "searchers/_client.py",
        "return Mismatched()",
        "pass",
        "answers of previous requests",
    ),
    Mutation(
        "not-run",
        "a request is refused only if nothing was sent",
        "daemons/_gather.py",
        "return SubmitStatus.UNKNOWN, type(result).__name__",
        "return SubmitStatus.NOT_RUN, RefusalReason.SHED",
        "connection reset after the run",
    ),
    Mutation(
        "at-most-once",
        "a ticket can be started only once",
        "tickets/_transitions.py",
        "    (TicketState.MINTED, TicketEvent.START): TicketState.RUNNING,",
        "    **{(s, TicketEvent.START): TicketState.RUNNING for s in TicketState},\n"
        "    (TicketState.ENDED, TicketEvent.FINISH): TicketState.ENDED,",
        "under no fault --",
    ),
    Mutation(
        "at-most-once",
        "no other gather is tried after a request may have been sent",
        "daemons/_submit.py",
        "            if error.sent:",
        "            if False:",
        "gathers paused --",
    ),
    Mutation(
        "leaving",
        "a searcher whose answer reports a drain gets no new work",
        "searchers/_sender.py",
        "        if result.draining:",
        "        if False:",
        "it keeps serving and reports that it drains",
    ),
    Mutation(
        "leaving",
        "a searcher that is listed as leaving gets no new work",
        "searchers/_controller.py",
        "self._listed_leaving = frozenset(leaving)",
        "self._listed_leaving = frozenset()",
        "only the list says so",
    ),
    Mutation(
        "shutdown",
        "a draining process waits for requests in flight",
        "daemons/_shutdown.py",
        "    while in_flight():",
        "    while False:",
        "A letter in flight is completed",
    ),
    Mutation(
        "shutdown",
        "a draining process serves until the load balancer reacts",
        "daemons/_shutdown.py",
        "await asyncio.sleep(settings.balancer_lag.total_seconds())",
        "await asyncio.sleep(0)",
        "SIGTERM to host-2-entry, 1 times",
    ),
    Mutation(
        "configuration",
        "a process pulls updates from its peers before it serves",
        "daemons/_node.py",
        "await asyncio.gather(self.platform.read_all(), self.peers.pull_updates())\n"
        "            if self.published.is_complete:\n"
        "                await self.peers.pull_updates()\n",
        "await self.platform.read_all()\n            if self.published.is_complete:\n",
        "decreases, with platform stale --",
    ),
    Mutation(
        "configuration",
        "a process refreshes its state after a pause before it serves",
        "daemons/_node.py",
        "        self.state_fresh.clear()\n",
        "",
        "resumes serves with the newest",
    ),
    Mutation(
        "quarantine",
        "a request becomes suspect if searchers are lost while they run it",
        "filters/_quarantine.py",
        "            self._record_loss(context)\n",
        "            return\n",
        "every 1.2 s",
    ),
)


def run(mutation: Mutation) -> bool:
    """Return whether a scenario failed with the mechanism disabled."""
    with tempfile.TemporaryDirectory() as name:
        copy_root = Path(name)
        for part in ("foxtailseam", "foxtailseam_bench", "features"):
            shutil.copytree(ROOT / part, copy_root / part)
        shutil.copy(ROOT / "pyproject.toml", copy_root)
        path = copy_root / "foxtailseam" / mutation.path
        text = path.read_text()
        if mutation.old not in text:
            raise SystemExit(f"{mutation.path}: text to replace not found")
        path.write_text(text.replace(mutation.old, mutation.new))
        done = subprocess.run(
            [
                *(sys.executable, "-m", "behave", "--no-capture", "--no-skipped"),
                *("--tags", f"@{mutation.tag} or @at-most-once"),
                *("--name", mutation.scenario, "--format", "progress"),
            ],
            cwd=copy_root,
            capture_output=True,
            text=True,
            check=False,
        )
        ran = "0 scenarios passed, 0 failed, 0 error" not in done.stdout
        return ran and ("Failing" in done.stdout or "Errored" in done.stdout)


def main() -> int:
    """Run all mutations, print a table and return 1 if one was not detected, else 0."""
    with ThreadPoolExecutor(MAX_PARALLEL_MUTATIONS) as pool:
        detected = list(pool.map(run, MUTATIONS))
    for mutation, is_detected in zip(MUTATIONS, detected, strict=True):
        verdict = "detected" if is_detected else "NOT DETECTED"
        print(f"@{mutation.tag:<14} {verdict:<12} disabled: {mutation.mechanism}")
    return 0 if all(detected) else 1


if __name__ == "__main__":
    sys.exit(main())
