"""Early refusal of new flows that overloaded members returned."""

from collections.abc import Sequence

from fuchsiapin.flows.members import MemberView
from fuchsiapin.flows.queueing import max_in_flight

__all__ = ["OVERLOAD", "OVERLOADED_MS", "is_overloaded", "views_under_overload"]

OVERLOAD = "no member can serve it before its deadline"
"""Reason of the reset of a flow that is refused early."""
OVERLOADED_MS = 200
"""How long a member counts as overloaded after it returned a new flow early; as old as
load reports get."""


def has_room(view: MemberView) -> bool:
    """Return whether the member's load report shows room for another request.

    A member without a report shows room.
    """
    waiting = view.load.waiting + view.placed_since_report
    return waiting < max_in_flight(view.member.slots)


def is_overloaded(now: int, view: MemberView, priority: int) -> bool:
    """Return whether a member lately returned a flow early that would go first."""
    return any(
        until > now and other <= priority
        for other, until in view.overloaded_until.items()
    )


def views_under_overload(
    now: int, views: Sequence[MemberView], priority: int
) -> list[MemberView]:
    """Return the members that a flow is offered to after an early return.

    Members with room come first, then those that aren't known to be overloaded.

    Parameters
    ----------
    now : int
        Time in ms.
    views : sequence of MemberView
        Members that the flow wasn't offered to yet.
    priority : int
        Priority of its route.
    """
    with_room = [view for view in views if has_room(view)]
    return with_room or [
        view for view in views if not is_overloaded(now, view, priority)
    ]
