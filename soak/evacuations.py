"""Evacuations of zones by the operator, and the checks that they are in force."""

import random
from typing import Any

__all__ = ["IN_FORCE_MS", "ZONES", "Evacuations"]

ZONES = ("a", "b")
"""Zones of a run with evacuations."""
IN_FORCE_MS = 5_000
"""Time after the store's answer in which an evacuated zone may still get new flows, and
for which the store must have been in reach."""
MIN_UNUSED_MS = 3_000
"""Time after the end of an evacuation in which the zone must get a new flow."""
COLD_MS = 2_000
"""Time for which the upstreams of a zone are cold after its evacuation."""
SAMPLE_MS = 50
"""Interval at which the paths to the store are looked at."""
KIND = "evacuations"


class Evacuations:
    """Evacuates one zone at a time, and checks where new flows arrive.

    Parameters
    ----------
    soak : Soak
        The run.
    count : int
        Number of evacuations; without any, all processes are in one zone and their
        settings lack the time within which an evacuation is in force.

    Attributes
    ----------
    zone : str
        Evacuated zone, empty for none.
    began_at : int
        When the store took the evacuation, in ms.
    away_at : int
        When the store was last out of reach of some process, in ms.
    ended_at, cold_until : dict
        When the last evacuation of each zone ended, and until when its upstreams are
        cold, in ms.
    used_at : dict
        When each zone last got a new flow, in ms.
    """

    def __init__(self, soak: Any, count: int) -> None:
        self.soak = soak
        # Drawn apart, so that a seed's other faults are the same with evacuations.
        self.rng = random.Random(f"evacuations {soak.seed}")
        self.count = count
        self.zone = ""
        self.began_at = 0
        self.away_at = 0
        self.ended_at: dict[str, int] = {}
        self.cold_until: dict[str, int] = {}
        self.used_at: dict[str, int] = {}

    def zone_of(self, number: int, group: int) -> str:
        """Return the zone of the VM with a number, in groups of VMs of one zone."""
        return ZONES[number // group % len(ZONES)] if self.count else "z"

    def schedule(self, start_ms: int, end_ms: int) -> None:
        """Schedule the evacuations; the last one ends after the last fault."""
        if not self.count:
            return
        length = (end_ms - start_ms) // self.count
        for number in range(self.count):
            at = start_ms + number * length + self.rng.randint(0, length // 2)
            is_last = number == self.count - 1
            until = end_ms + IN_FORCE_MS if is_last else at + length // 2
            until += self.rng.randint(500, 2_000) if is_last else 0
            self.soak.loop.call_later(at, lambda now, t=until: self.begin(t))
        self.sample_paths()

    def begin(self, until_ms: int) -> None:
        """Evacuate a zone until a time after the start, once the store answers."""
        now = self.soak.loop.clock.now()
        if self.is_store_away():
            self.soak.loop.call_later(100, lambda _: self.begin(until_ms))
            return
        if self.zone:
            return
        self.zone, self.began_at = self.rng.choice(ZONES), now
        self.soak.store.put(KIND, self.zone, {})
        self.soak.log_fault(f"evacuate {self.zone}")
        delay = max(0, self.soak.started_at + until_ms - now)
        self.soak.loop.call_later(delay, lambda _: self.end())

    def end(self) -> None:
        """Take the zone into use again, cold or warm."""
        zone, self.zone = self.zone, ""
        now = self.soak.loop.clock.now()
        self.soak.store.delete(KIND, zone)
        self.ended_at[zone] = now
        is_cold = self.rng.random() < 0.5
        self.cold_until[zone] = now + COLD_MS * is_cold
        self.soak.log_fault(f"reinstate {zone}, {'cold' if is_cold else 'warm'}")

    def write_again(self) -> None:
        """Write what the operator wants after the store came back from a copy."""
        for zone in ZONES if self.count else ():
            if zone == self.zone:
                self.soak.store.put(KIND, zone, {})
            else:
                self.soak.store.delete(KIND, zone)

    def cold_ms(self, zone: str) -> int:
        """Return for how long the upstreams of a zone are still cold."""
        return max(0, self.cold_until.get(zone, 0) - self.soak.loop.clock.now())

    def is_store_away(self) -> bool:
        """Return whether the store, or the way to it, doesn't answer in time."""
        is_up = self.soak.store.fault.mode in ("up", "lossy")
        return not is_up or self.soak.store_link.mode != "up"

    def sample_paths(self) -> None:
        """Record whether the store is in reach, and repeat that."""
        if self.is_store_away():
            self.away_at = self.soak.loop.clock.now()
        self.soak.loop.call_later(SAMPLE_MS, lambda now: self.sample_paths())

    def check_new_flow(self, upstream: Any) -> None:
        """Report a new flow in a zone whose evacuation must be in force."""
        now, zone = self.soak.loop.clock.now(), upstream.vm.zone
        self.used_at[zone] = now
        reached_at = max(self.began_at, self.away_at + SAMPLE_MS)
        if zone == self.zone and now - reached_at > IN_FORCE_MS:
            since = f"{now - self.began_at} ms after its evacuation"
            self.soak.add_violation(
                "new flow in evacuated zone", f"{upstream.id}, {since}"
            )

    def check_use(self) -> None:
        """Report a zone that got no new flow since its evacuation ended."""
        now = self.soak.loop.clock.now()
        for zone, ended_at in self.ended_at.items():
            is_used = self.used_at.get(zone, 0) > ended_at
            if zone != self.zone and not is_used and now - ended_at > MIN_UNUSED_MS:
                self.soak.add_violation("zone not used again", zone)
