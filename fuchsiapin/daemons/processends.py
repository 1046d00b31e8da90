"""Runs a process and reports why it ends."""

from __future__ import annotations

import os
import select
from collections.abc import Callable
from time import monotonic_ns, sleep
from typing import TYPE_CHECKING, Any, NoReturn, TypeVar

from fuchsiapin.clock import SystemClock
from fuchsiapin.daemons.loglines import LogLines
from fuchsiapin.daemons.resources import read_resources
from fuchsiapin.exceptions import SettingsError, error_location, error_trace

if TYPE_CHECKING:
    from fuchsiapin.flows.adapter import FlowAdapter

__all__ = [
    "end_process",
    "report_delay",
    "report_end",
    "report_resources",
    "run_process",
    "try_for",
]

EXIT_STATUS = 1
FLUSH_MS = 200
"""Longest wait for the reader of the log; the process is started again only after its
end."""
MAX_ERROR_CHARACTERS = 500
MAX_LAST_BYTES = 4_096
"""A pipe that is ready takes as many bytes at once."""
STANDARD_ERROR = 2
SETTINGS_WAIT_MS = 3_000
"""Longest wait for settings, which the platform writes at each start."""
ADDRESS_WAIT_MS = 10_000
"""Longest wait for an address, which a former process may still use."""
REPEAT_S = 0.02
NS_PER_MS = 1_000_000
T = TypeVar("T")


def run_process(adapter: FlowAdapter, make_shell: Callable[..., Any]) -> None:
    """Run a process until its planned stop is complete.

    Parameters
    ----------
    adapter : FlowAdapter
        The platform.
    make_shell : callable
        Makes the shell of the process from the adapter and its settings.

    Raises
    ------
    SystemExit
        If the process can't start or ends by an error, which is logged before.
    """
    name, log = "", None
    try:
        # Taken first: what changes from here on differs from it.
        fingerprint = adapter.settings_fingerprint()
        settings = try_for(
            SETTINGS_WAIT_MS, adapter.read_settings, lambda error: True, tell_delay
        )
        name = settings.name
        shell = make_shell(adapter, settings)
        shell.settings_fingerprint = fingerprint
        log = shell.log
        shell.run()
    except Exception as error:
        end_process(error, log or LogLines(SystemClock(), name))


def tell_delay(error: Exception) -> None:
    """Write that the settings can't be read yet."""
    log = LogLines(SystemClock(), "")
    report_delay(log, error)


def report_delay(log: LogLines, error: Exception) -> None:
    """Write that the process waits for something that it needs."""
    log.report(1112, error=str(error)[:MAX_ERROR_CHARACTERS])
    log.flush()


def try_for(
    duration_ms: int,
    call: Callable[[], T],
    may_repeat: Callable[[Any], bool],
    on_delay: Callable[[Exception], None],
) -> T:
    """Return the result of a call, which is repeated while it fails.

    Parameters
    ----------
    duration_ms : int
        Time after which the error of the call is raised.
    call : callable
        The call.
    may_repeat : callable
        Returns whether an error may be over soon.
    on_delay : callable
        Called with the first error.
    """
    deadline = monotonic_ns() + duration_ms * NS_PER_MS
    is_told = False
    while True:
        try:
            return call()
        except (OSError, SettingsError) as error:
            if not may_repeat(error) or monotonic_ns() >= deadline:
                raise
            if not is_told:
                on_delay(error)
            is_told = True
        sleep(REPEAT_S)


def end_process(error: BaseException, log: LogLines | None = None) -> NoReturn:
    """Report why the process ends, and end it."""
    report_end(log or LogLines(SystemClock(), ""), error)
    raise SystemExit(EXIT_STATUS) from error


def report_end(log: LogLines, error: BaseException) -> None:
    """Write why the process ends, to standard error if the log can't take it."""
    log.drain(FLUSH_MS)
    log.drop_unread()
    report_resources(log)
    log.report(
        1111,
        error=repr(error)[:MAX_ERROR_CHARACTERS],
        where=error_location(error),
        trace=error_trace(error),
    )
    unwritten = log.drain(FLUSH_MS)
    if unwritten:
        write_last(unwritten[-MAX_LAST_BYTES:])


def report_resources(log: LogLines) -> None:
    """Report the memory and descriptors of the process."""
    figures = read_resources()
    log.report(
        1110,
        memory_kb=figures.memory_kb,
        peak_memory_kb=figures.peak_memory_kb,
        descriptors=figures.descriptors,
        descriptor_limit=figures.descriptor_limit,
    )


def write_last(data: bytes) -> None:
    """Write to standard error unless this would block."""
    writable = select.poll()
    writable.register(STANDARD_ERROR, select.POLLOUT)
    try:
        if writable.poll(0):
            os.write(STANDARD_ERROR, data)
    except OSError:
        return  # closed as well; nobody can be told
