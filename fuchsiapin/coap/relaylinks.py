"""Options of a process in the relay of stored objects, and its subscribers."""

from dataclasses import dataclass, field

from fuchsiapin.coap.relaytree import Contact

__all__ = ["ALL_TOPICS", "Subscriber", "RelayOptions"]

ALL_TOPICS = ["balancers/", "config/", "members/"]
"""Key prefixes of all stored objects; the topics of a balancer."""


@dataclass(frozen=True)
class RelayOptions:
    """Role of a process in the relay.

    Parameters
    ----------
    contact : Contact
        Name and address of this process.
    zone : str
        Its availability zone.
    topics : list of str
        Keys that it needs, or key prefixes that end in a slash.
    is_balancer : bool
        Whether it is a balancer and may accept subscribers.
    seeds : list of Contact
        Balancers to contact while the object API does not answer.
    """

    contact: Contact
    zone: str
    topics: list[str]
    is_balancer: bool
    seeds: list[Contact] = field(default_factory=list)


@dataclass
class Subscriber:
    """A process that has subscribed here.

    Parameters
    ----------
    contact : Contact
        Its name and address.
    topics : list of str
        Keys and key prefixes that it needs.
    last_digest_at : int
        Time of its last digest, in ms.
    is_root : bool
        Whether it is a root itself.
    """

    contact: Contact
    topics: list[str]
    last_digest_at: int
    is_root: bool
