"""Processor time and memory of processes, as the operating system counts them."""

import os
from dataclasses import dataclass
from pathlib import Path

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True)
class Usage:
    """Processor seconds since the start, and resident memory in MB."""

    processor_seconds: float
    resident_mb: float


def stolen_seconds() -> float:
    """Return the processor time that the hypervisor has taken from this machine."""
    fields = Path("/proc/stat").read_text().splitlines()[0].split()
    return int(fields[8]) / TICKS_PER_SECOND


def usage_of(pid: int) -> Usage:
    """Return the usage of a running process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return Usage(ticks / TICKS_PER_SECOND, int(line.split()[1]) / 1024)
