"""Opens the ports of a starting daemon."""

from collections.abc import Callable
from typing import Any, TypeVar

from twisted.internet.error import CannotListenError

__all__ = ["listen_or_exit"]

T = TypeVar("T")


def listen_or_exit(name: str, listen: Callable[..., T], *args: Any) -> T:
    """Return the result of a call that opens a port, or end the start with a line.

    Parameters
    ----------
    name : str
        Key of the address in the settings.
    listen : callable
        The call.
    *args
        Its arguments.
    """
    try:
        return listen(*args)
    except CannotListenError as error:
        reason = getattr(error.socketError, "strerror", None) or error.socketError
        place = f"{error.interface}:{error.port}"
        raise SystemExit(f"{name}: can't listen on {place}: {reason}") from error
