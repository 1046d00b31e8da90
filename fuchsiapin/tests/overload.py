"""Played loads for tests of overload: callers that arrive at given rates."""

from fuchsiapin.tests.flowworld import settled_world
from fuchsiapin.tests.test_queueing import CallerSession

__all__ = ["Outcome", "OverloadedWorld"]

SLOTS = 2
SERVICE_MS = 40
SLOW_FACTOR = 6


class TimedSession(CallerSession):
    """A caller that notes when it was refused."""

    refused_at: int | None = None

    def watch(self) -> None:
        """Note a refusal, otherwise send the request once the flow is open."""
        if self.caller.resets and self.refused_at is None:
            self.refused_at = self.world.now
        if self.refused_at is None:
            super().watch()


class Outcome:
    """What callers got.

    Attributes
    ----------
    shares : tuple of float
        Shares of the callers that were served within the target latency, served before
        the deadline, refused, and neither.
    refusal_ms : list of int
        Times until refusals, sorted.
    """

    def __init__(self, sessions: list[TimedSession]) -> None:
        route = sessions[0].caller.route
        self.count = len(sessions)
        times = [session.answer_ms for session in sessions]
        answered = [elapsed for elapsed in times if elapsed is not None]
        self.in_target = sum(ms <= route.target_latency_ms for ms in answered)
        self.in_time = sum(ms <= route.deadline_ms for ms in answered)
        self.refusal_ms = sorted(
            session.refused_at - session.started_at
            for session in sessions
            if session.refused_at is not None
        )
        self.untold = self.count - self.in_time - len(self.refusal_ms)

    def __repr__(self) -> str:
        told = self.refusal_ms
        middle, late = (
            (told[len(told) // 2], told[len(told) * 19 // 20]) if told else (0, 0)
        )
        return (
            f"{self.count} callers: {self.in_target} in target latency, {self.in_time} "
            f"in time, {len(told)} refused after {middle} ms (95%: {late} ms, "
            f"last: {told[-1] if told else 0} ms), {self.untold} untold"
        )


class OverloadedWorld:
    """A world whose callers arrive at a multiple of the capacity of its upstreams.

    A third of the upstreams is six times slower.
    """

    def __init__(self, seed: int, members: int = 6, routes: tuple = ()) -> None:
        self.world = settled_world(
            seed=seed,
            balancers=2,
            members=members,
            slots=SLOTS,
            service_ms=SERVICE_MS,
            routes=routes,
        )
        self.capacity_per_ms = 0.0
        for number, upstream in enumerate(self.world.upstreams.values()):
            upstream.capacity = 1_000_000
            if number % 3 == 2:
                upstream.service_ms *= SLOW_FACTOR
            self.capacity_per_ms += SLOTS / upstream.service_ms
        self.sessions: list[TimedSession] = []

    def arrive(self, factor: float, start: int, end: int, route=None) -> None:
        """Let callers arrive at random at a multiple of the capacity."""
        world = self.world
        at = float(start)
        while True:
            at += world.rng.expovariate(factor * self.capacity_per_ms)
            if at >= end:
                return
            world.after(int(at), lambda: self.add_session(route))

    def add_session(self, route: object) -> None:
        """Let one caller arrive."""
        host = self.world.rng.choice(self.world.balancer_hosts)
        self.sessions.append(TimedSession(self.world, host, route))

    def outcome(self, start: int = 0, end: int = 1 << 60, route=None) -> Outcome:
        """Return what the callers got that started in a span of time."""
        return Outcome(
            [
                session
                for session in self.sessions
                if start <= session.started_at < end
                and route in (None, session.caller.route)
            ]
        )
