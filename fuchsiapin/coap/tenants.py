"""Finds the class of a caller at a service."""

from collections.abc import Iterable
from functools import lru_cache
from ipaddress import IPv4Address, IPv4Network

from fuchsiapin.exceptions import MalformedObject
from fuchsiapin.messages import ClassConfig

__all__ = ["Tenants"]

CACHED_CALLERS = 16_384
"""Size of the cache of callers' classes."""


class Tenants:
    """Maps callers to classes by the longest matching network prefix.

    Parameters
    ----------
    classes : iterable of ClassConfig
        Classes of one service. A class without networks gets all other callers.

    Raises
    ------
    MalformedObject
        If a network is not a valid IPv4 network.

    Examples
    --------
    >>> shops = ClassConfig("shops", 3, ["10.8.0.0/16"])
    >>> tenants = Tenants([shops, ClassConfig("parents", 1)])
    >>> tenants.class_of("10.8.1.2"), tenants.class_of("10.9.0.1")
    ('shops', 'parents')
    """

    def __init__(self, classes: Iterable[ClassConfig]) -> None:
        self.default_class = ""
        networks: list[tuple[IPv4Network, str]] = []
        for item in classes:
            if not item.networks:
                self.default_class = item.name
            networks += [(parse_network(text), item.name) for text in item.networks]
        networks.sort(key=lambda pair: -pair[0].prefixlen)
        self.networks = networks
        self.class_of = lru_cache(CACHED_CALLERS)(self.find_class)

    def find_class(self, host: str) -> str:
        """Return the class of a caller, empty if it has none."""
        if not self.networks:
            return self.default_class
        try:
            address = IPv4Address(host)
        except ValueError:
            return self.default_class
        for network, name in self.networks:
            if address in network:
                return name
        return self.default_class


def parse_network(text: str) -> IPv4Network:
    """Parse a network of a stored configuration."""
    try:
        return IPv4Network(text)
    except ValueError as error:
        raise MalformedObject(f"invalid IPv4 network: {error}") from error
