"""Other balancers, as one balancer knows them, and which of them it tells what.

Traffic between availability zones is dear, and grew with the square of the number of
balancers while each told balancers of all zones. What crosses now is shared by the
balancers of a zone, and spreads within the other one.
"""

import random

__all__ = [
    "DIGEST_MS",
    "PUSH_PEERS",
    "Peer",
    "digest_targets",
    "expired_hosts",
    "hosts_in_zone",
    "push_targets",
    "starts_repair",
]

DIGEST_MS = 400
"""Maximum time between two digests to other balancers."""
DIGEST_PEERS = 8
"""Number of balancers that each digest goes to, drawn at random each time."""
ZONE_DIGESTS = 24
"""Digests that the balancers of one availability zone send to other zones in one round
together, so that what crosses doesn't grow with their number."""
ZONE_REPAIRS = 3
"""Repairs that the balancers of one zone start, on average, when each of them gets one
digest from another zone that differs."""
PUSH_PEERS = 24
"""Number of balancers of the own zone that a change is pushed to at once by a balancer
that learned it from the store, from its member or from another zone."""
RELAY_PEERS = 4
"""Number of balancers of the own zone that a change learned from one of them is pushed
on to; digests reach those that all pushes missed."""
PEER_EXPIRY_MS = 15_000
"""A balancer that sent nothing for this long is removed."""
MISSED_DIGESTS = 8
"""Mean intervals between the digests of a balancer of another zone after which it is
removed, if that is later."""
MAX_PEER_EXPIRY_MS = 300_000
"""Upper bound of that time."""


class Peer:
    """Another balancer.

    Attributes
    ----------
    added_at : int
        When the peer was added, in ms.
    last_message_at : int
        When its last message was received, in ms, 0 for never.
    name, zone : str
        Name and availability zone of the balancer, from its last digest.
    configuration : int
        Version of the configuration that its last digest reported.
    """

    def __init__(self, host: str, now: int) -> None:
        self.host = host
        self.name = ""
        self.zone = ""
        self.added_at = now
        self.last_message_at = 0
        self.configuration = 0


def hosts_in_zone(peers: dict[str, Peer], zone: str) -> list[str]:
    """Return the addresses of the balancers of one zone."""
    return [host for host, peer in peers.items() if peer.zone == zone]


def crossing_digests(own: int, others: int) -> float:
    """Return to how many balancers of other zones a round's digest goes, in mean.

    It is their share of `DIGEST_PEERS`, but at most this balancer's share of
    `ZONE_DIGESTS`.

    Parameters
    ----------
    own, others : int
        Number of other balancers of this zone and of other zones.

    Examples
    --------
    >>> crossing_digests(2, 4), crossing_digests(5, 10), crossing_digests(47, 96)
    (4.0, 4.0, 0.5)
    """
    share = min(own + others, DIGEST_PEERS) * others / max(own + others, 1)
    return min(share, ZONE_DIGESTS / (own + 1))


def digest_targets(peers: dict[str, Peer], zone: str, rng: random.Random) -> list[str]:
    """Return the addresses that this round's digest goes to, in random order."""
    own = hosts_in_zone(peers, zone)
    others = [host for host, peer in peers.items() if peer.zone != zone]
    if not others:
        return rng.sample(own, min(len(own), DIGEST_PEERS))
    # The fraction decides how often there is one more.
    mean = crossing_digests(len(own), len(others))
    crossing = min(int(mean + rng.random()), len(others))
    count = min(len(own), DIGEST_PEERS - crossing)
    targets = [*rng.sample(own, count), *rng.sample(others, crossing)]
    # Eras and evacuations are repeated to the first one; they must cross, too.
    rng.shuffle(targets)
    return targets


def starts_repair(
    peers: dict[str, Peer], zone: str, source: str, rng: random.Random
) -> bool:
    """Return whether to offer a balancer whose digest differs what it lacks.

    Between zones it is offered seldom: what one balancer learns so is pushed on within
    its zone, and otherwise each of them would fetch each change from other zones.
    """
    if peers[source].zone == zone:
        return True
    return rng.random() < ZONE_REPAIRS / (len(hosts_in_zone(peers, zone)) + 1)


def push_targets(
    peers: dict[str, Peer], zone: str, source: str, rng: random.Random
) -> list[str]:
    """Return the addresses that a change is pushed to.

    It crosses once to each other zone from each balancer that has it from the store or
    from its member; there it is pushed on within the zone. `source` is the address of
    the process that it was received from, empty for the store.
    """
    by_zone: dict[str, list[str]] = {}
    for host, peer in peers.items():
        if host != source:
            by_zone.setdefault(peer.zone, []).append(host)
    own = by_zone.pop(zone, [])
    sender = peers.get(source)
    is_from_zone = sender is not None and sender.zone == zone
    count = RELAY_PEERS if is_from_zone else PUSH_PEERS
    targets = rng.sample(own, count) if len(own) > count else own
    if sender is None:
        targets += [rng.choice(hosts) for hosts in by_zone.values()]
    return targets


def expired_hosts(now: int, peers: dict[str, Peer], zone: str) -> list[str]:
    """Return the addresses of the balancers that have been silent for too long.

    One of another zone sends digests to this balancer the more seldom, the larger both
    zones are.
    """
    own = len(hosts_in_zone(peers, zone))
    others = len(peers) - own
    if others and (mean := crossing_digests(own, others)) > 0:
        interval_ms = DIGEST_MS * others / mean
        other_expiry_ms = max(PEER_EXPIRY_MS, MISSED_DIGESTS * interval_ms)
        other_expiry_ms = min(other_expiry_ms, MAX_PEER_EXPIRY_MS)
    else:
        other_expiry_ms = PEER_EXPIRY_MS
    return [
        host
        for host, peer in peers.items()
        if now - max(peer.last_message_at, peer.added_at)
        > (PEER_EXPIRY_MS if peer.zone == zone else other_expiry_ms)
    ]
