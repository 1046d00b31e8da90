"""Runs the Twisted reactor of a test run in a separate thread."""

import threading
import time
from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.internet.threads import blockingCallFromThread

__all__ = ["call_in_reactor", "run_in_reactor"]

START_TIMEOUT_S = 90
POLL_S = 0.01


def call_in_reactor(function: Callable[..., Any], *args: Any) -> Any:
    """Call a function in the reactor's thread, which is started if needed.

    A reactor can be started only once per process, so all tests share it.
    """
    if not reactor.running:
        reactor_options = {"installSignalHandlers": False}
        threading.Thread(
            target=reactor.run, kwargs=reactor_options, daemon=True
        ).start()
        wait_running()
    return blockingCallFromThread(reactor, function, *args)


def wait_running() -> None:
    """Wait until the reactor runs.

    Raises
    ------
    TimeoutError
        If it doesn't start in time.
    """
    deadline = time.monotonic() + START_TIMEOUT_S
    while not reactor.running:
        if time.monotonic() > deadline:
            raise TimeoutError("the reactor did not start in time")
        time.sleep(POLL_S)


def run_in_reactor(coroutine: Coroutine) -> Any:
    """Run a coroutine in the reactor; return its result."""
    return call_in_reactor(lambda: ensureDeferred(coroutine))
