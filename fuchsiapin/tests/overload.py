"""Played loads: callers that arrive at multiples of the capacity of upstreams."""

from unittest import mock

from fuchsiapin.flows.admission import AdmissionControl
from fuchsiapin.tests.flowworld import FlowWorld, settled_world
from fuchsiapin.tests.test_queueing import GIVE_UP_MS, CallerSession

__all__ = [
    "Outcome",
    "OverloadedWorld",
    "RetryingSession",
    "without_early_returns",
]

MAX_RETRIES = 2
RETRY_PAUSE_MS = 100


def without_early_returns() -> mock._patch:
    """Return a patch under which no overload is ever noticed."""
    return mock.patch.object(AdmissionControl, "update", lambda self, now: None)


class TimedSession(CallerSession):
    """A caller that notes when it was refused."""

    refused_at: int | None = None

    def watch(self) -> None:
        """Note a refusal, otherwise send the request once the flow is open."""
        if self.caller.resets and self.refused_at is None:
            self.refused_at = self.world.now
        if self.refused_at is None:
            super().watch()


class RetryingSession(TimedSession):
    """A caller that tries again on a new flow when a try was refused or not accepted.

    It began `age` ms ago. All of its tries are appended to `tries`.
    """

    def __init__(
        self,
        world: FlowWorld,
        tries: list["RetryingSession"],
        age: int = 0,
        former: "RetryingSession | None" = None,
    ) -> None:
        self.tries, self.has_ended = tries, False
        self.began_at = former.began_at if former else world.now - age
        self.retries_left = former.retries_left - 1 if former else MAX_RETRIES
        super().__init__(world, world.rng.choice(world.balancer_hosts), age=age)
        tries.append(self)

    def watch(self) -> None:
        """Try again soon after a try failed, as often as callers do."""
        super().watch()
        is_late = self.world.now - self.started_at >= GIVE_UP_MS
        is_failed = self.refused_at is not None or (
            is_late and not self.has_sent_request
        )
        if is_failed and not self.has_ended and self.retries_left:
            self.has_ended = True
            self.world.after(
                RETRY_PAUSE_MS,
                lambda: RetryingSession(self.world, self.tries, former=self),
            )


class Outcome:
    """How many callers were served in the target latency, in time, and refused when."""

    def __init__(self, sessions: list[TimedSession]) -> None:
        self.count = len(sessions)
        route = sessions[0].caller.route
        times = [s.answer_ms for s in sessions if s.answer_ms is not None]
        self.in_target = sum(ms <= route.target_latency_ms for ms in times)
        self.in_time = sum(ms <= route.deadline_ms for ms in times)
        refused = [s for s in sessions if s.refused_at is not None]
        self.refusal_ms = sorted(s.refused_at - s.started_at for s in refused)
        # Flows that an upstream accepted can't be refused any more.
        is_open = [s for s in sessions if s.has_sent_request]
        self.untold = self.count - len(is_open) - len(refused)


class OverloadedWorld:
    """A world with upstreams of two slots, a third of which is six times slower."""

    def __init__(self, seed: int, routes: tuple = ()) -> None:
        options = {"balancers": 2, "members": 6, "slots": 2, "service_ms": 40}
        self.world = settled_world(seed=seed, routes=routes, **options)
        self.started_at = self.world.now
        self.capacity_per_ms = 0.0
        for number, upstream in enumerate(self.world.upstreams.values()):
            upstream.capacity = 1_000_000
            if number % 3 == 2:
                upstream.service_ms *= 6
            self.capacity_per_ms += upstream.slots / upstream.service_ms
        self.sessions: list[TimedSession] = []

    def arrive(self, factor: float, start: int, end: int, route=None) -> None:
        """Let callers arrive at random at a multiple of the capacity."""
        at = float(start)
        while (
            at := at + self.world.rng.expovariate(factor * self.capacity_per_ms)
        ) < end:
            host = self.world.rng.choice(self.world.balancer_hosts)
            self.world.after(int(at), lambda h=host: self.add_session(h, route))

    def add_session(self, host: str, route: object) -> None:
        """Let one caller arrive at a balancer."""
        self.sessions.append(TimedSession(self.world, host, route))

    def outcome(self, start: int = 0, route=None) -> Outcome:
        """Return what the callers got that started since then."""
        return Outcome(
            [
                session
                for session in self.sessions
                if session.started_at - self.started_at >= start
                and route in (None, session.caller.route)
            ]
        )
