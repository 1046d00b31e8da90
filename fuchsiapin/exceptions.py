"""Errors of the library; each layer turns those from below into its own."""

__all__ = [
    "FuchsiapinError",
    "HistoryLost",
    "MalformedDatagram",
    "MalformedEnvelope",
    "MalformedObject",
    "ObjectApiError",
    "SettingsError",
    "UnknownVariant",
]


class FuchsiapinError(Exception):
    """Base of all errors of this package."""


class MalformedDatagram(FuchsiapinError):
    """A datagram that is no CoAP message."""


class MalformedEnvelope(FuchsiapinError):
    """A datagram or frame that no process of the system can have sent."""


class MalformedObject(FuchsiapinError):
    """A stored object that does not follow the schema."""


class ObjectApiError(FuchsiapinError):
    """The platform's object API failed or could not be reached."""


class HistoryLost(ObjectApiError):
    """The object API no longer tells what changed since a revision."""


class SettingsError(FuchsiapinError):
    """Settings, register or rules with faults."""


class UnknownVariant(FuchsiapinError):
    """A name that no registered function carries."""
