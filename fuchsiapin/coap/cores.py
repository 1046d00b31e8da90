"""Base class of the decision cores of all roles."""

import random
from collections.abc import Callable
from typing import Any

from fuchsiapin.messages import Report
from fuchsiapin.timers import Timers

__all__ = ["Core"]


class Core:
    """A decision core: it maps events to effects and does no input or output.

    Parameters
    ----------
    rng : random.Random
        Source of all random draws.

    Attributes
    ----------
    now : int
        Time of the event that is being handled, in ms.
    effects : list
        Effects of the timers and the event that are being handled.
    timers : Timers
        Calls that are due later.
    event_handlers : dict
        Handler of each event type.

    Examples
    --------
    >>> from fuchsiapin.messages import Start
    >>> core = Core(random.Random(1))
    >>> core.event_handlers[Start] = lambda event: core.report(1101, role="none")
    >>> core.handle(5, Start())
    [Report(number=1101, fields={'role': 'none'})]
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.now = 0
        self.effects: list[Any] = []
        self.timers = Timers()
        self.event_handlers: dict[type, Callable[[Any], None]] = {}

    def handle(self, now: int, event: Any) -> list[Any]:
        """Run the timers that are due, then handle an event; return the effects.

        Parameters
        ----------
        now : int
            Time in ms.
        event : dataclass
            An event of `fuchsiapin.messages`.

        Returns
        -------
        list
            Effects of `fuchsiapin.messages`, in the order in which they take place.
        """
        self.now = now
        self.timers.run(now)
        handler = self.event_handlers.get(type(event))
        if handler is not None:
            handler(event)
        effects = list(self.effects)
        self.effects.clear()
        return effects

    def next_due(self) -> int | None:
        """Return when the next timer is due, in ms; None without a timer."""
        return self.timers.next_due()

    def report(self, number: int, **fields: Any) -> None:
        """Add a numbered event for log and metrics."""
        self.effects.append(Report(number, fields))
