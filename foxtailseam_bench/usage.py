"""Processor time and memory of processes, read from ``/proc``."""

import os
from dataclasses import dataclass
from pathlib import Path

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True)
class Usage:
    """Processor seconds of a process since its start, and its resident memory in MB."""

    processor_seconds: float
    resident_mb: float


def steal_seconds() -> float:
    """Return the steal time of this machine since its start, in processor seconds.

    Steal time is time in which the hypervisor ran other guests.
    """
    fields = Path("/proc/stat").read_text().splitlines()[0].split()
    return int(fields[8]) / TICKS_PER_SECOND


def usage_of(pid: int) -> Usage:
    """Return the processor time and memory of the running process `pid`."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return Usage(ticks / TICKS_PER_SECOND, int(line.split()[1]) / 1024)
