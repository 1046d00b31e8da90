"""Exceptions of the library; each layer converts those of lower layers into its own."""

__all__ = [
    "FuchsiapinError",
    "HistoryLost",
    "MalformedDatagram",
    "MalformedEnvelope",
    "MalformedObject",
    "ObjectApiError",
    "SettingsError",
    "UnknownFunction",
    "error_location",
]


class FuchsiapinError(Exception):
    """Base of all errors of this package."""


class MalformedDatagram(FuchsiapinError):
    """A datagram is not a valid CoAP message."""


class MalformedEnvelope(FuchsiapinError):
    """A datagram or frame is not a valid message of a process of the system."""


class MalformedObject(FuchsiapinError):
    """A stored object does not match the schema."""


class ObjectApiError(FuchsiapinError):
    """The platform's object API failed or could not be reached."""


class HistoryLost(ObjectApiError):
    """The object API no longer has the changes since a revision."""


class SettingsError(FuchsiapinError):
    """Settings, register or rules contain faults."""


class UnknownFunction(FuchsiapinError):
    """No function is registered under a name."""


def error_location(error: BaseException) -> str:
    """Return where an exception was raised: module, line and function."""
    trace = error.__traceback__
    if trace is None:
        return ""
    while trace.tb_next is not None:
        trace = trace.tb_next
    code = trace.tb_frame.f_code
    module = code.co_filename.rpartition("/")[2].removesuffix(".py")
    return f"{module}:{trace.tb_lineno} {code.co_name}"
