"""Calls to the platform's store, independent of the platform's API."""

from typing import Any, Protocol

from fuchsiapin.lightclasses import dataclass

__all__ = [
    "BALANCERS",
    "CONFIGURATION",
    "CREATE",
    "DELETE",
    "EVACUATIONS",
    "LIST",
    "MEMBERS",
    "REPLACE",
    "WATCH",
    "StoreResult",
    "StoreCall",
    "StoreFormat",
    "StoredItem",
]

CONFIGURATION = "configuration"
MEMBERS = "members"
BALANCERS = "balancers"
EVACUATIONS = "evacuations"


LIST = "list"
WATCH = "watch"
CREATE = "create"
REPLACE = "replace"
DELETE = "delete"


@dataclass(frozen=True)
class StoreCall:
    """A call to the store.

    Parameters
    ----------
    verb : str
        `LIST` or `WATCH` a kind, or `CREATE`, `REPLACE` or `DELETE` one object.
    kind : str
        Kind of the objects.
    name : str
        Name of the object; for a list, the name after which the page starts.
    value : object
        Value to write.
    since, wait_ms : int
        Revision that a watch continues from, and how long it may wait.
    """

    verb: str
    kind: str
    name: str = ""
    value: Any = None
    since: int = 0
    wait_ms: int = 0


@dataclass(frozen=True)
class StoredItem:
    """An object of the store, or its deletion.

    Parameters
    ----------
    name : str
        Name of the object, unique in its kind.
    revision : int
        Revision of its last change.
    value : object
        Value of the object, None if it can't be read.
    is_deleted : bool
        Whether it was deleted.
    error : str
        Why the value can't be read, empty if it can or its reader decides that.
    """

    name: str
    revision: int
    value: Any
    is_deleted: bool = False
    error: str = ""


@dataclass(frozen=True)
class StoreResult:
    """Outcome of a call.

    Parameters
    ----------
    outcome : str
        `done`; `exists`, `missing` or `history lost` as reported by the store;
        `busy` if the store refused the call or failed; `unreachable` if no valid
        answer arrived, so that the outcome is unknown.
    items : tuple of StoredItem
        Objects listed or changed.
    revision : int
        Revision of the store that the answer reflects.
    has_more : bool
        Whether the list continues.
    after : str
        Name after which it continues, empty if that can't be told.
    detail : str
        Status or error, for logs.
    era : int
        Era of the store's contents that the answer belongs to, 0 if it tells none.
    era_error : str
        Why the era can't be read, empty if it can or is missing.
    refused : tuple of str
        Why objects of the answer were left out, one text for each of them.
    """

    outcome: str
    items: tuple[StoredItem, ...] = ()
    revision: int = 0
    has_more: bool = False
    detail: str = ""
    era: int = 0
    era_error: str = ""
    refused: tuple[str, ...] = ()
    after: str = ""


class StoreFormat(Protocol):
    """Encoding of calls and decoding of responses."""

    def build_request(self, call: StoreCall) -> tuple[str, str, bytes]:
        """Return the HTTP method, path and body of a call."""

    def parse_response(
        self, call: StoreCall, status: int, body: bytes, headers: dict[str, str]
    ) -> StoreResult:
        """Return the result of a call, decoded from the response.

        The names of headers are in lower case.
        """
