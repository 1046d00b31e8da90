"""State machine of a daemon's lifecycle: starting, serving, stopping, ended."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from automat import TypeMachineBuilder

__all__ = ["Lifecycle", "Steps", "make_lifecycle"]


@dataclass(frozen=True)
class Steps:
    """Actions that a daemon takes on state changes.

    Parameters
    ----------
    serve, begin_stop, end : callable
        Called at most once each.
    """

    serve: Callable[[], None]
    begin_stop: Callable[[], None]
    end: Callable[[], None]


class Lifecycle(Protocol):
    """Inputs of the state machine; they may come in any order and repeatedly."""

    def started(self) -> None:
        """Handle the start of the event loop."""

    def stop_asked(self) -> None:
        """Handle a request for a planned stop; it may be repeated."""

    def finished(self) -> None:
        """Handle that the core has nothing left to do."""


builder = TypeMachineBuilder(Lifecycle, Steps)
starting = builder.state("starting")
serving = builder.state("serving")
stopping = builder.state("stopping")
ended = builder.state("ended")


@starting.upon(Lifecycle.started).to(serving)
def begin(lifecycle: Lifecycle, steps: Steps) -> None:
    """Start serving when the event loop runs."""
    steps.serve()


@serving.upon(Lifecycle.stop_asked).to(stopping)
def begin_stop(lifecycle: Lifecycle, steps: Steps) -> None:
    """Start the planned stop, which finishes the work in flight."""
    steps.begin_stop()


@starting.upon(Lifecycle.stop_asked).to(ended)
@starting.upon(Lifecycle.finished).to(ended)
@serving.upon(Lifecycle.finished).to(ended)
@stopping.upon(Lifecycle.finished).to(ended)
def end(lifecycle: Lifecycle, steps: Steps) -> None:
    """End the process."""
    steps.end()


@serving.upon(Lifecycle.started).loop()
@stopping.upon(Lifecycle.started).loop()
@stopping.upon(Lifecycle.stop_asked).loop()
@ended.upon(Lifecycle.started).loop()
@ended.upon(Lifecycle.stop_asked).loop()
@ended.upon(Lifecycle.finished).loop()
def stay(lifecycle: Lifecycle, steps: Steps) -> None:
    """Ignore an input that has no effect in this state."""


make_lifecycle = builder.build()
"""Returns the lifecycle of a daemon with the given actions."""
