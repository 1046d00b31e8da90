"""The one Twisted loop of a test run, in a thread of its own."""

import threading
import time
from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.internet.threads import blockingCallFromThread

__all__ = ["drive", "in_loop"]

START_S = 90
POLL_S = 0.01


def in_loop(function: Callable[..., Any], *args: Any) -> Any:
    """Call a function in the loop's thread, which is started where needed.

    A loop can be started once in a process, so that all tests share it.
    """
    if not reactor.running:
        run = {"installSignalHandlers": False}
        threading.Thread(target=reactor.run, kwargs=run, daemon=True).start()
        wait_running()
    return blockingCallFromThread(reactor, function, *args)


def wait_running() -> None:
    """Wait until the loop runs.

    Raises
    ------
    TimeoutError
        If it doesn't.
    """
    end = time.monotonic() + START_S
    while not reactor.running:
        if time.monotonic() > end:
            raise TimeoutError("the loop does not run")
        time.sleep(POLL_S)


def drive(coroutine: Coroutine) -> Any:
    """Run a coroutine in the loop; return its result."""
    return in_loop(lambda: ensureDeferred(coroutine))
