"""Load of each role and of the object API at full size, from measured slopes."""

from dataclasses import dataclass
from typing import Any

__all__ = ["FLEET", "REMOVAL_S", "CapacityModel", "FleetSize"]

DAY_S = 86_400
RESEND_ALL_S = 60.0
"""Interval at which a root sends all its sums to the other roots."""
SUM_UPDATES_PER_CHANGE = 3
"""Number of times that the sums change, and are sent, per spread configuration."""
REMOVAL_S = 4.0
"""Time within which the members of a lost availability zone are removed."""
MAX_BACKOFF_S = 5.0
"""Longest retry delay of an updater: after an outage, all updates are due within it."""
MIN_WATCH_INTERVAL_S = 0.01
"""Minimum interval between reads of one watch.

Each answer carries all changes since the last one, so the rate of reads stays
below one per interval, however many objects change.
"""


@dataclass(frozen=True)
class FleetSize:
    """Size of the installation that is modelled, and the bounds on its load."""

    balancers: int = 5_400
    sides: int = 38_000
    services: int = 2_900
    zones: int = 9
    flows: int = 190_000_000
    new_flows_s: int = 310_000
    changes_day: int = 3_200
    failures_day: int = 180
    restarts_day: int = 12_000
    deployments: int = 100
    bound_bytes_s: int = 17_000
    bound_core: float = 0.011
    bound_memory: int = 128_000_000
    bound_writes_s: int = 300
    bound_reads_s: int = 2_000
    bound_config_s: float = 17.0

    @property
    def processes(self) -> int:
        """Number of balancers and side processes."""
        return self.balancers + self.sides

    @property
    def per_service(self) -> float:
        """Mean number of members of one service."""
        return self.sides / self.services

    @property
    def per_zone(self) -> float:
        """Mean number of balancers in one availability zone."""
        return self.balancers / self.zones

    @property
    def roots(self) -> int:
        """Number of root balancers: two per zone, which watch the object API."""
        return 2 * self.zones


FLEET = FleetSize()


class CapacityModel:
    """Message rates, bytes, processor time and memory at full size.

    Parameters
    ----------
    report : dict
        The measured costs.
    fleet : FleetSize
        Size of the installation.
    """

    def __init__(self, report: dict[str, Any], fleet: FleetSize = FLEET) -> None:
        self.report = report
        self.fleet = fleet
        self.slopes = {slope["name"]: slope for slope in report["slopes"]}
        self.message_bytes = report["message_bytes"]

    def cost(self, name: str, size: float) -> float:
        """Return a cost at a size by its fitted line, at least 0."""
        slope = self.slopes[name]
        return max(0.0, slope["base"] + slope["slope"] * size)

    def message_us(self, kind: str) -> float:
        """Return the microseconds to encode or decode one small message.

        It is half of a heartbeat's encoding and decoding, for every `kind`.
        """
        return self.slopes["heartbeat round"]["slope"] / 2

    @property
    def calls(self) -> dict[str, float]:
        """Number of store calls per change, at the largest measured service."""
        return self.report["calls"][-1]

    @property
    def restarts_s(self) -> float:
        """Planned restarts of side processes per second."""
        share = self.fleet.sides / self.fleet.processes
        return self.fleet.restarts_day * share / DAY_S

    @property
    def balancer_restarts_s(self) -> float:
        """Planned restarts of balancers per second."""
        share = self.fleet.balancers / self.fleet.processes
        return self.fleet.restarts_day * share / DAY_S

    @property
    def membership_changes_s(self) -> float:
        """Writes of memberships per second, over all services."""
        calls = self.calls
        restart_writes = calls["join_writes"] + calls["leave_writes"]
        failures = self.fleet.failures_day / DAY_S
        return self.restarts_s * restart_writes + failures * calls["crash_writes"]

    @property
    def zone_changes_s(self) -> float:
        """Writes of zones per second."""
        calls = self.calls
        restart_writes = calls["balancer_join_writes"] + calls["balancer_leave_writes"]
        return self.balancer_restarts_s * restart_writes

    @property
    def config_changes_s(self) -> float:
        """Accepted configurations per second."""
        return self.fleet.changes_day / DAY_S

    def change_costs(self) -> dict[str, tuple[float, float, float]]:
        """Return changes/s, bytes per change and us per change of each object kind."""
        fleet = self.fleet
        size = fleet.sides / fleet.deployments
        return {
            "members": (
                self.membership_changes_s,
                self.cost("membership packed", fleet.per_service),
                self.cost("membership taken in", fleet.per_service),
            ),
            "balancers": (
                self.zone_changes_s,
                self.cost("zone packed", fleet.per_zone),
                self.cost("zone taken in", fleet.per_zone),
            ),
            "config": (
                self.config_changes_s,
                self.cost("configuration packed", size),
                self.cost("configuration taken in", size),
            ),
        }

    def balancer(self, children: int, sides: float, is_root: bool) -> dict[str, float]:
        """Return the load of a balancer with the given numbers of subscribers."""
        digest_bytes, answer_bytes = (
            self.message_bytes["RelayDigest"],
            self.message_bytes["RelayAnswer"],
        )
        heartbeat_bytes = self.message_bytes["BalancerHeartbeat"]
        subscribers = children + sides
        per_digest = self.cost("digest answered", self.fleet.services)
        # A balancer sends 8 heartbeats per second, one per 500 ms to each of its
        # 4 watchers, and receives as many.
        messages_s, bytes_s, us = (
            subscribers * 2 + 8 * 2,
            subscribers * answer_bytes + 8 * heartbeat_bytes,
            0.0,
        )
        us += subscribers * per_digest + 16 * self.message_us("beat")
        us += self.cost("sums in force", self.fleet.deployments)
        sums_bytes = self.message_bytes["RelayAcks"] * self.fleet.deployments
        if is_root:
            root_bytes_s = (
                sums_bytes / RESEND_ALL_S
                + self.config_changes_s
                * SUM_UPDATES_PER_CHANGE
                * self.message_bytes["RelayAcks"]
            )
            messages_s += 2 * (self.fleet.roots - 1) / RESEND_ALL_S
            bytes_s += (self.fleet.roots - 1) * root_bytes_s
        else:
            messages_s += 2
            bytes_s += (
                digest_bytes
                + self.config_changes_s * SUM_UPDATES_PER_CHANGE * sums_bytes
            )
        for name, (rate, size, apply_us) in self.change_costs().items():
            receivers = children + (sides if name == "balancers" else 0)
            interested_sides = sides * self.interested_share(name)
            pushes = rate * (receivers + interested_sides)
            messages_s += pushes + rate
            bytes_s += pushes * size
            us += rate * apply_us + pushes * self.cost("push to one subscriber", 13)
        memory = self.report["resident"]["balancer"]
        memory += self.cost("balancer memory", self.fleet.services)
        memory += self.fleet.zones * self.cost("side memory", self.fleet.per_zone)
        return {
            "messages_s": messages_s,
            "bytes_s": bytes_s,
            "core": us / 1e6,
            "memory": memory,
        }

    def interested_share(self, name: str) -> float:
        """Return the share of the changes of a kind that one side process receives."""
        fleet = self.fleet
        shares = {"members": 1 / fleet.services, "config": 1 / fleet.deployments}
        return shares.get(name, 0.0)

    def side(self) -> dict[str, float]:
        """Return the load of a side process."""
        fleet = self.fleet
        peers = fleet.per_service - 1
        heartbeats_s = 2 * peers
        flows = fleet.flows / fleet.sides
        bytes_s = (
            heartbeats_s * self.message_bytes["Heartbeat"]
            + self.message_bytes["RelayDigest"]
        )
        messages_s = 2 * heartbeats_s + 2
        us = 2 * heartbeats_s * self.message_us("beat") + 2 * self.message_us("digest")
        for name, (rate, _, apply_us) in self.change_costs().items():
            received_s = rate * (
                self.interested_share(name) if name != "balancers" else 1
            )
            messages_s += received_s
            us += received_s * apply_us
        changes_s = self.membership_changes_s / fleet.services
        us += changes_s * self.cost("placing flows", flows)
        memory = self.report["resident"]["side"]
        memory += fleet.zones * self.cost("side memory", fleet.per_zone)
        memory += self.cost("observation memory", flows) * 2
        return {
            "messages_s": messages_s,
            "bytes_s": bytes_s,
            "core": us / 1e6,
            "memory": memory,
        }

    def roles(self) -> dict[str, dict[str, float]]:
        """Return the load of each role."""
        sides = self.fleet.sides / self.fleet.balancers
        return {
            "balancer (8 balancers, 7 sides below)": self.balancer(8, sides, False),
            "root balancer": self.balancer(8, sides, True),
            "busiest balancer (8 and 20)": self.balancer(8, 20, False),
            "side process": self.side(),
        }

    def store(self) -> dict[str, tuple[float, float]]:
        """Return reads, with pending watches counted, and writes per second."""
        fleet, calls = self.fleet, self.calls
        writes_s = (
            self.membership_changes_s + self.zone_changes_s + self.config_changes_s
        )
        reads = fleet.roots * (1 + writes_s)
        reads += self.restarts_s * (calls["join_reads"] + calls["leave_reads"])
        reads += self.balancer_restarts_s * (
            calls["balancer_join_reads"] + calls["balancer_leave_reads"]
        )
        lost_sides = fleet.sides / fleet.zones
        zone_writes = lost_sides * calls["crash_writes"] / REMOVAL_S
        zone_reads = lost_sides * calls["crash_reads"] / REMOVAL_S
        zone_reads += fleet.roots * (1 + min(zone_writes, 1 / MIN_WATCH_INTERVAL_S))
        restarts_in_outage = fleet.restarts_day / 24
        return {
            "ordinary day": (reads, writes_s),
            "loss of an availability zone, 4 s": (zone_reads, zone_writes),
            "after an hour's outage, 5 s": (
                reads + restarts_in_outage * calls["join_reads"] / MAX_BACKOFF_S,
                writes_s + restarts_in_outage * calls["join_writes"] / MAX_BACKOFF_S,
            ),
        }

    def depth(self) -> int:
        """Return the number of hops from a root to the farthest side process.

        The first two positions of a zone are roots; each balancer has 8 children, as in
        `relaytree.parent_positions`.
        """
        index, hops = int(self.fleet.per_zone) - 1, 1
        while index >= 2:
            index, hops = (index - 2) // 8, hops + 1
        return hops
