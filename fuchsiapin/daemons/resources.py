"""Memory and descriptors that a process uses."""

import os
from resource import RLIMIT_NOFILE, RUSAGE_SELF, getrlimit, getrusage

from fuchsiapin.lightclasses import dataclass

__all__ = ["UNKNOWN", "Resources", "read_resources"]

UNKNOWN = -1
"""Value of a figure that the system doesn't tell."""


@dataclass(frozen=True)
class Resources:
    """Memory and descriptors of a process; `UNKNOWN` if the system doesn't tell.

    Parameters
    ----------
    memory_kb, peak_memory_kb : int
        Memory in use, and the most that was in use since the start.
    descriptors, descriptor_limit : int
        Open descriptors, and how many may be open.
    """

    memory_kb: int
    peak_memory_kb: int
    descriptors: int
    descriptor_limit: int


def read_resources() -> Resources:
    """Return the memory and descriptors of this process."""
    memory_kb, peak_kb = read_memory_kb()
    return Resources(
        memory_kb, peak_kb, count_descriptors(), getrlimit(RLIMIT_NOFILE)[0]
    )


def read_memory_kb() -> tuple[int, int]:
    """Return the memory in use and its peak, in kB."""
    try:
        with open("/proc/self/status", "rb") as file:
            lines = file.read().splitlines()
    except OSError:
        # The peak of the parent process counts here, so this is the second choice.
        return UNKNOWN, getrusage(RUSAGE_SELF).ru_maxrss
    values = {line.partition(b":")[0]: line.split()[1:2] for line in lines if line}
    found = [values.get(name) for name in (b"VmRSS", b"VmHWM")]
    memory_kb, peak_kb = (int(value[0]) if value else UNKNOWN for value in found)
    return memory_kb, peak_kb


def count_descriptors() -> int:
    """Return the number of open descriptors."""
    try:
        return len(os.listdir("/proc/self/fd")) - 1  # without the one that lists
    except OSError:
        return UNKNOWN  # also when no descriptor is left
