"""State machine of a daemon's lifecycle: starting, serving, stopping, ended."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from automat import TypeMachineBuilder

__all__ = ["Lifecycle", "LifecycleActions", "make_lifecycle"]


@dataclass(frozen=True)
class LifecycleActions:
    """Actions that a daemon takes on state changes.

    Parameters
    ----------
    start, begin_stop, end : callable
        Called at most once each.
    """

    start: Callable[[], None]
    begin_stop: Callable[[], None]
    end: Callable[[], None]


class Lifecycle(Protocol):
    """Inputs of the state machine; they may come in any order and repeatedly."""

    def started(self) -> None:
        """Handle the start of the event loop."""

    def stop_requested(self) -> None:
        """Handle a request for a planned stop; it may be repeated."""

    def finished(self) -> None:
        """Handle the core's report that it has nothing left to do."""


builder = TypeMachineBuilder(Lifecycle, LifecycleActions)
starting = builder.state("starting")
serving = builder.state("serving")
stopping = builder.state("stopping")
ended = builder.state("ended")


@starting.upon(Lifecycle.started).to(serving)
def begin_serving(lifecycle: Lifecycle, actions: LifecycleActions) -> None:
    """Start serving when the event loop runs."""
    actions.start()


@serving.upon(Lifecycle.stop_requested).to(stopping)
def begin_stop(lifecycle: Lifecycle, actions: LifecycleActions) -> None:
    """Start the planned stop, which finishes the work in flight."""
    actions.begin_stop()


@starting.upon(Lifecycle.stop_requested).to(ended)
@starting.upon(Lifecycle.finished).to(ended)
@serving.upon(Lifecycle.finished).to(ended)
@stopping.upon(Lifecycle.finished).to(ended)
def end(lifecycle: Lifecycle, actions: LifecycleActions) -> None:
    """End the process."""
    actions.end()


@serving.upon(Lifecycle.started).loop()
@stopping.upon(Lifecycle.started).loop()
@stopping.upon(Lifecycle.stop_requested).loop()
@ended.upon(Lifecycle.started).loop()
@ended.upon(Lifecycle.stop_requested).loop()
@ended.upon(Lifecycle.finished).loop()
def ignore(lifecycle: Lifecycle, actions: LifecycleActions) -> None:
    """Ignore an input that has no effect in this state."""


make_lifecycle = builder.build()
"""Returns the lifecycle of a daemon with the given actions."""
