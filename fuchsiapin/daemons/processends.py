"""Runs a process and reports why it ends."""

from __future__ import annotations

import os
import select
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NoReturn

from fuchsiapin.clock import SystemClock
from fuchsiapin.daemons.errorlocation import error_location, error_trace
from fuchsiapin.daemons.loglines import LogLines
from fuchsiapin.daemons.resources import read_resources

if TYPE_CHECKING:
    from fuchsiapin.flows.adapter import FlowAdapter

__all__ = ["end_process", "report_end", "report_resources", "run_process"]

EXIT_STATUS = 1
FLUSH_MS = 500
"""Longest wait for the reader of the log; the process is started again only after its
end."""
MAX_ERROR_CHARACTERS = 500
MAX_LAST_BYTES = 4_096
"""A pipe that is ready takes as many bytes at once."""
STANDARD_ERROR = 2


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
        settings = adapter.read_settings()
        name = settings.name
        shell = make_shell(adapter, settings)
        log = shell.log
        shell.run()
    except Exception as error:
        end_process(error, log or LogLines(SystemClock(), name))


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
