"""Client of the platform's object API: reads, conditional writes and watches."""

import json
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.internet.task import deferLater
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from fuchsiapin.exceptions import HistoryLost, MalformedObject, ObjectApiError
from fuchsiapin.fields import MAX_VERSION, read_text, read_whole, shown
from fuchsiapin.jsonpages import load_json

__all__ = [
    "MAX_LIST_BYTES",
    "ObjectApiClient",
    "OnProblem",
    "StoredObject",
    "parse_list",
]

OnProblem = Callable[[str, str], None]
"""Called with the key of an entry that can't be read, empty for a whole list that
can't, and the reason."""

CALL_TIMEOUT_S = 2.0
WATCH_WAIT_S = 20
"""Longest time that the object API holds a watch request open (long polling)."""
FIRST_BACKOFF_S = 0.25
"""Shortest backoff after the first failure of a watch; doubled by each further one."""
MAX_BACKOFF_S = 10.0
"""Longest backoff after a failure of a watch."""
MAX_VALUE_BYTES = 1_000_000
"""Longest response body that is accepted, except for a list."""
MAX_LIST_BYTES = 64 * 1024 * 1024
"""Longest response body that is accepted for a list."""
MAX_IDLE_CONNECTIONS = 2
"""Keep-alive connections in the pool."""
MAX_KEY_BYTES = 512
MAX_VERSION_DIGITS = 18
STATUS_GONE = 410
"""The object API no longer has the changes since the requested revision."""


@dataclass(frozen=True)
class StoredObject:
    """An object of the object API; version 0 if it doesn't exist."""

    key: str
    version: int
    value: bytes


class BoundedBody(Protocol):
    """Collects a response body up to a maximum length.

    Parameters
    ----------
    limit : int
        Maximum length in bytes.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.parts: list[bytes] = []
        self.length = 0
        self.done: Deferred = Deferred()

    def dataReceived(self, data: bytes) -> None:
        """Store a part of the body; close the connection if it is too long."""
        self.length += len(data)
        if self.length > self.limit:
            self.transport.loseConnection()
            return
        self.parts.append(data)

    def connectionLost(self, reason: Failure) -> None:
        """Fire `done` with the body if it is complete, else with an error."""
        if self.done.called:
            return
        if self.length > self.limit:
            self.done.errback(ObjectApiError(f"body over {self.limit} bytes"))
        elif reason.check(ResponseDone):
            self.done.callback(b"".join(self.parts))
        else:
            self.done.errback(reason)


@implementer(IBodyProducer)
class RequestBody:
    """Request body from bytes in memory."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.length = len(data)

    def startProducing(self, consumer: Any) -> Deferred:
        """Write the whole body immediately."""
        consumer.write(self.data)
        done: Deferred = Deferred()
        done.callback(None)
        return done

    def pauseProducing(self) -> None:
        """Do nothing; the body is written in one call."""

    def stopProducing(self) -> None:
        """Do nothing; the body is written in one call."""


class ObjectApiClient:
    """Client of the object API for one process.

    Parameters
    ----------
    reactor : twisted reactor
        The event loop.
    url : str
        Base URL of the object API.
    rng : random.Random, optional
        Source of the backoff jitter.

    Attributes
    ----------
    calls : Counter
        Calls made, by method; each poll of a watch counts.
    revision : int
        Newest revision that the watch has delivered.
    """

    def __init__(
        self, reactor: Any, url: str, rng: random.Random | None = None
    ) -> None:
        self.reactor = reactor
        self.url = url.rstrip("/")
        self.rng = rng or random.Random()
        self.pool = HTTPConnectionPool(reactor)
        self.pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
        self.agent = Agent(reactor, connectTimeout=CALL_TIMEOUT_S, pool=self.pool)
        self.calls: Counter[str] = Counter()
        self.revision = 0
        self.is_watching = False
        self.watch_generation = 0

    async def call(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: dict,
        timeout: float,
        limit: int = MAX_VALUE_BYTES,
    ) -> tuple[int, bytes, str]:
        """Return status, body and entity tag of one call.

        Raises
        ------
        ObjectApiError
            If the call fails for any reason, such as a timeout or a body that is too
            long.
        """
        self.calls[method] += 1
        try:
            request = self.agent.request(
                method.encode(),
                f"{self.url}{path}".encode(),
                Headers({name: [value] for name, value in headers.items()}),
                RequestBody(body) if body else None,
            )
            request.addTimeout(timeout, self.reactor)
            response = await request
            reader = BoundedBody(limit)
            response.deliverBody(reader)
            reader.done.addTimeout(timeout, self.reactor)
            data = await reader.done
        except Exception as error:  # noqa: BLE001 - any failure of the call is an API error
            raise ObjectApiError(f"{method} {path}: {error!r}") from error
        tag = response.headers.getRawHeaders(b"ETag", [b"0"])[0]
        return response.code, data, tag.decode("latin-1").strip('"')

    async def read(self, key: str) -> StoredObject:
        """Return an object."""
        status, data, tag = await self.call(
            "GET",
            f"/objects/{quote(key, errors='surrogateescape')}",
            b"",
            {},
            CALL_TIMEOUT_S,
        )
        if status == 404:
            return StoredObject(key, 0, b"")
        if status != 200:
            raise ObjectApiError(f"GET {key}: status {status}")
        return StoredObject(key, parse_version(key, tag), data)

    async def write(self, key: str, version: int, value: bytes) -> bool:
        """Write an object if its stored version is still `version`.

        Version 0 means that the object must not exist. Return whether it was written.
        """
        condition = {"If-Match": f'"{version}"'} if version else {"If-None-Match": "*"}
        status, _, _ = await self.call(
            "PUT",
            f"/objects/{quote(key, errors='surrogateescape')}",
            value,
            condition,
            CALL_TIMEOUT_S,
        )
        if status in (200, 201):
            return True
        if status in (409, 412):
            return False
        raise ObjectApiError(f"PUT {key}: status {status}")

    async def changes(
        self, since: int, on_problem: OnProblem = lambda key, reason: None
    ) -> tuple[int, list[StoredObject]]:
        """Return the newest revision and the objects changed since a revision.

        `on_problem` is called for each entry that can't be read.

        Raises
        ------
        HistoryLost
            If the object API no longer has the changes since then, or its revision
            is older than `since`.
        ObjectApiError
            If it can't be reached or its response is malformed.
        """
        status, data, _ = await self.call(
            "GET",
            f"/objects?since={since}&wait={WATCH_WAIT_S}",
            b"",
            {},
            WATCH_WAIT_S + 5,  # time for the response beyond the long poll
            MAX_LIST_BYTES,
        )
        if status == STATUS_GONE:
            raise HistoryLost(f"watch: the changes since revision {since} are gone")
        if status != 200:
            raise ObjectApiError(f"watch: status {status}")
        revision, found = parse_list(data, on_problem)
        if revision < since:
            raise HistoryLost(f"watch: revision went back from {since} to {revision}")
        return revision, found

    async def watch(
        self,
        on_object: Callable[[StoredObject], None],
        on_state: Callable[[bool], None],
        on_problem: OnProblem = lambda key, reason: None,
    ) -> None:
        """Deliver all objects and each change to them, until stopped.

        After a failure the watch resumes from the last revision. All objects are
        read again only if the object API no longer has the changes since then or its
        revision is older.
        """
        self.is_watching = True
        self.watch_generation += 1
        watch_generation, failures = self.watch_generation, 0
        while self.is_watching and watch_generation == self.watch_generation:
            try:
                revision, found = await self.changes(self.revision, on_problem)
            except ObjectApiError as error:
                if watch_generation != self.watch_generation:
                    return
                if isinstance(error, HistoryLost):
                    self.revision = 0
                else:
                    on_state(False)
                on_problem("", str(error))
                failures += 1
                await self.back_off(failures)
                continue
            if watch_generation != self.watch_generation:
                return
            failures = 0
            self.revision = revision
            for item in found:
                on_object(item)
            on_state(True)

    async def back_off(self, failures: int) -> None:
        """Wait before the next attempt: exponential backoff with jitter.

        The exponent is bounded because its power would become too large for a float.
        """
        limit = min(FIRST_BACKOFF_S * 2 ** min(failures, 10), MAX_BACKOFF_S)
        await deferLater(self.reactor, self.rng.uniform(limit / 2, limit))

    def stop(self) -> None:
        """Stop the watch; a later one reads all objects again."""
        self.is_watching = False
        self.watch_generation += 1
        self.revision = 0

    def close(self) -> None:
        """Close the idle connections."""
        self.pool.closeCachedConnections()


def parse_version(key: str, tag: str) -> int:
    """Return the version from an entity tag.

    Raises
    ------
    ObjectApiError
        If the tag is not a number.
    """
    if not (tag.isascii() and tag.isdecimal() and len(tag) <= MAX_VERSION_DIGITS):
        raise ObjectApiError(f"{key}: entity tag {shown(tag)} is not a version number")
    return int(tag)


def parse_list(
    data: bytes, on_problem: OnProblem = lambda key, reason: None
) -> tuple[int, list[StoredObject]]:
    """Return the revision and the objects of a list response.

    Parameters
    ----------
    data : bytes
        The response.
    on_problem : callable, optional
        Called for each entry that can't be read; it is left out.

    Raises
    ------
    ObjectApiError
        If the response is no list with a revision.
    """
    try:
        answer = load_json(data)
        if type(answer) is not dict or type(answer.get("objects")) is not list:
            raise MalformedObject("not an object with a list of objects")
        revision = read_whole(answer.get("revision"), "revision", 0, MAX_VERSION)
    except (ValueError, MalformedObject) as error:
        raise ObjectApiError(f"list is malformed: {error}") from error
    found = []
    for index, item in enumerate(answer["objects"]):
        try:
            found.append(read_entry(item))
        except MalformedObject as error:
            key = item.get("key") if type(item) is dict else None
            name = key if isinstance(key, str) else f"objects[{index}]"
            on_problem(name, str(error))
    return revision, found


def read_entry(item: Any) -> StoredObject:
    """Return an entry of a list.

    Raises
    ------
    MalformedObject
        If it is odd.
    """
    if type(item) is not dict or "value" not in item:
        raise MalformedObject(f"entry {shown(item)} is not an object with a value")
    key = read_text(item.get("key"), "key", longest=MAX_KEY_BYTES)
    version = read_whole(item.get("version"), "version", 1, MAX_VERSION)
    try:
        value = json.dumps(item["value"], separators=(",", ":")).encode()
    except RecursionError as error:
        raise MalformedObject("value is nested too deep") from error
    return StoredObject(key, version, value)
