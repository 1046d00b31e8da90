"""The life of a daemon as a state machine: it starts, serves, stops and ends."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from automat import TypeMachineBuilder

__all__ = ["Lifecycle", "Steps", "make_lifecycle"]


@dataclass(frozen=True)
class Steps:
    """What a daemon does when its state changes.

    Parameters
    ----------
    serve, begin_stop, end : callable
        Called once each at the most.
    """

    serve: Callable[[], None]
    begin_stop: Callable[[], None]
    end: Callable[[], None]


class Lifecycle(Protocol):
    """What can happen to a daemon, in any order and any number of times."""

    def started(self) -> None:
        """Note that the loop runs."""

    def stop_asked(self) -> None:
        """Note that a planned stop is asked for, maybe again."""

    def finished(self) -> None:
        """Note that the core has nothing left to do."""


builder = TypeMachineBuilder(Lifecycle, Steps)
starting = builder.state("starting")
serving = builder.state("serving")
stopping = builder.state("stopping")
ended = builder.state("ended")


@starting.upon(Lifecycle.started).to(serving)
def begin(lifecycle: Lifecycle, steps: Steps) -> None:
    """Serve once the loop runs."""
    steps.serve()


@serving.upon(Lifecycle.stop_asked).to(stopping)
def begin_stop(lifecycle: Lifecycle, steps: Steps) -> None:
    """Finish what is in flight."""
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
    """Change nothing: this was done before."""


make_lifecycle = builder.build()
"""Returns the lifecycle of a daemon with the given steps."""
