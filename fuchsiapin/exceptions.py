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
    "error_trace",
]

MAX_CALLS = 10
"""Innermost calls that are told of an exception."""


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


def error_trace(error: BaseException) -> list[str]:
    """Return the innermost calls that led to an exception: module, line, function."""
    calls = []
    trace = error.__traceback__
    while trace is not None:
        code = trace.tb_frame.f_code
        module = code.co_filename.rpartition("/")[2].removesuffix(".py")
        calls.append(f"{module}:{trace.tb_lineno} {code.co_name}")
        trace = trace.tb_next
    return calls[-MAX_CALLS:]


def error_location(error: BaseException) -> str:
    """Return where an exception was raised: module, line and function."""
    calls = error_trace(error)
    return calls[-1] if calls else ""
