"""Options of one side process."""

from dataclasses import dataclass, field

from fuchsiapin.coap.relaytree import Contact
from fuchsiapin.policy import Policy

__all__ = ["SideOptions"]

DEFAULT_DEADLINE_MS = 20_000


@dataclass(frozen=True)
class SideOptions:
    """Options of one side process.

    Parameters
    ----------
    slots : int
        Requests that the upstream serves at the same time.
    queue : int
        Bound on the requests that wait for a slot.
    records : int
        Number of records from which a witness declines new ones.
    deadline_ms : int
        Time limit of a request.
    policy : Policy
        Names of the policies to use.
    deployment : str
        Deployment whose configuration is applied; empty for any.
    seeds : list of Contact
        Balancers to get stored objects from when the object API doesn't answer.
    """

    slots: int = 2
    queue: int = 64
    records: int = 100_000
    deadline_ms: int = DEFAULT_DEADLINE_MS
    policy: Policy = field(default_factory=Policy)
    deployment: str = ""
    seeds: list[Contact] = field(default_factory=list)
