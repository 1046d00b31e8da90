"""Interface to the platform that the processes of packet flows run on."""

from typing import Protocol

from fuchsiapin.flows.packets import PacketFormat
from fuchsiapin.flows.storage import StoreFormat
from fuchsiapin.flows.upstreams import Heartbeat
from fuchsiapin.lightclasses import dataclass

__all__ = ["FlowAdapter", "FlowSettings", "LeaveNotice"]


@dataclass(frozen=True)
class FlowSettings:
    """Settings of a process that carries flows.

    Parameters
    ----------
    name, role, host, zone : str
        Name, role, address and availability zone of the process.
    bind : str
        Address that it listens on for other processes, usually the same as
        `host`.
    callers : tuple of (str, int)
        Address where a balancer receives callers' packets. Packets to callers go
        to the same port at the callers' addresses.
    ready, control : tuple of (str, int)
        HTTP addresses for readiness probes and for upstreams' heartbeats; port 0 if
        the role has none.
    upstream : tuple of (str, int)
        Address of the upstream; port 0 if the role has none.
    outbound : tuple of (str, int)
        Address of the side process's socket to its upstream; port 0 if the role has
        none.
    store : tuple of (str, int)
        Address of the store.
    service : str
        Service of the upstream beside a side process.
    peer_port : int
        Port for messages between processes, the same on every VM.
    seeds : tuple of str
        Addresses of balancers to contact before any other is known.
    heartbeat_ms : int
        Time between two heartbeats of an upstream.
    flow_ms : int
        Longest life of a flow.
    grace_ms : int
        Time between the stop signal and the exit.
    metrics_port : int
        Port of the metrics, 0 for none.
    evacuation_ms : int
        Time within which an evacuated zone gets no new flows any more, 0 if zones
        can't be evacuated.
    cold_overage, cold_slack : float
        Bounds of the openings that a cold upstream gets: a factor of the rate that it
        bears, and openings a second in addition. 0 without the bound.
    link_mbps : float
        Bandwidth of the VM's link in Mbit/s, 0 if it isn't known.
    """

    name: str
    role: str
    host: str
    bind: str
    zone: str
    callers: tuple[str, int]
    ready: tuple[str, int]
    control: tuple[str, int]
    upstream: tuple[str, int]
    outbound: tuple[str, int]
    store: tuple[str, int]
    service: str
    peer_port: int
    seeds: tuple[str, ...]
    heartbeat_ms: int
    flow_ms: int
    grace_ms: int
    metrics_port: int
    evacuation_ms: int = 0
    cold_overage: float = 0.0
    cold_slack: float = 0.0
    link_mbps: float = 0.0


@dataclass(frozen=True)
class LeaveNotice:
    """Notice of an upstream that it leaves; platforms may call it deregistration.

    Parameters
    ----------
    id : str
        Id of the upstream.
    born : int or None
        Time of its start by the VM's clock, ms since the epoch, None if it isn't told.
    """

    id: str
    born: int | None = None


class FlowAdapter(Protocol):
    """Names, formats and calls of a platform; makes no decisions.

    Attributes
    ----------
    packets : PacketFormat
        Wire layout of packets.
    store : StoreFormat
        Calls to the store.
    ready_path : str
        HTTP path that answers whether the process is ready for callers.
    health_path : str
        HTTP path of an upstream's health check.
    metrics_path : str
        HTTP path of the metrics.
    """

    packets: PacketFormat
    store: StoreFormat
    ready_path: str
    health_path: str
    metrics_path: str

    def read_settings(self) -> FlowSettings:
        """Return the settings of the process as they are now.

        Raises
        ------
        SettingsError
            If they can't be read.
        """

    def settings_fingerprint(self) -> object:
        """Return a value, cheap to compute, that changes when the settings change."""

    def read_control(
        self, method: str, path: str, body: bytes
    ) -> Heartbeat | LeaveNotice | None:
        """Return the message of an upstream, None for an unknown path.

        Raises
        ------
        MalformedObject
            If the body can't be read.
        """

    def read_health(self, status: int, headers: dict[str, str]) -> tuple[bool, str]:
        """Return whether an upstream is healthy, and its id, empty if unknown.

        Raises
        ------
        MalformedObject
            If the id can't be used.
        """
