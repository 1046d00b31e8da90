"""Client of the platform's object API: reads, conditional updates, list watches."""

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

from fuchsiapin.exceptions import HistoryLost, ObjectApiError

__all__ = ["MAX_LIST_BYTES", "ObjectApiClient", "StoredObject", "read_list"]

CALL_TIMEOUT_S = 2.0
WATCH_S = 20
"""How long the object API may keep a watch waiting."""
FIRST_PAUSE_S = 0.25
MAX_PAUSE_S = 10.0
"""Pauses after a watch that failed, doubled from one to the next."""
MAX_VALUE_BYTES = 1_000_000
MAX_LIST_BYTES = 64 * 1024 * 1024
"""Longest bodies that are read."""
CONNECTIONS = 2
"""Connections that are kept open."""
STATUS_GONE = 410
"""The object API no longer knows what changed since a revision."""


@dataclass(frozen=True)
class StoredObject:
    """An object as the object API holds it; version 0 when it doesn't exist."""

    key: str
    version: int
    value: bytes


class BoundedBody(Protocol):
    """Collects the body of an answer up to a length.

    Parameters
    ----------
    limit : int
        Longest body in bytes.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.parts: list[bytes] = []
        self.length = 0
        self.done: Deferred = Deferred()

    def dataReceived(self, data: bytes) -> None:
        """Keep a part, or break the connection off."""
        self.length += len(data)
        if self.length > self.limit:
            self.transport.loseConnection()
            return
        self.parts.append(data)

    def connectionLost(self, reason: Failure) -> None:
        """Hand the body on if it is whole."""
        if self.done.called:
            return
        if self.length > self.limit:
            self.done.errback(ObjectApiError(f"body over {self.limit} bytes"))
        elif reason.check(ResponseDone):
            self.done.callback(b"".join(self.parts))
        else:
            self.done.errback(reason)


@implementer(IBodyProducer)
class Body:
    """The body of a request."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.length = len(data)

    def startProducing(self, consumer: Any) -> Deferred:
        """Write the body at once."""
        consumer.write(self.data)
        done: Deferred = Deferred()
        done.callback(None)
        return done

    def pauseProducing(self) -> None:
        """Nothing to pause."""

    def stopProducing(self) -> None:
        """Nothing to stop."""


class ObjectApiClient:
    """Calls of one process to the object API.

    Parameters
    ----------
    reactor : twisted reactor
        The loop.
    url : str
        Root of the object API.
    rng : random.Random, optional
        Draws the jitter of pauses.

    Attributes
    ----------
    calls : Counter
        Calls made, by method; a watch counts each time that it is asked.
    revision : int
        Newest revision that the watch handed on.
    """

    def __init__(
        self, reactor: Any, url: str, rng: random.Random | None = None
    ) -> None:
        self.reactor = reactor
        self.url = url.rstrip("/")
        self.rng = rng or random.Random()
        self.pool = HTTPConnectionPool(reactor)
        self.pool.maxPersistentPerHost = CONNECTIONS
        self.agent = Agent(reactor, connectTimeout=CALL_TIMEOUT_S, pool=self.pool)
        self.calls: Counter[str] = Counter()
        self.revision = 0
        self.is_watching = False
        self.turn = 0

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
            If the object API can't be reached in time, or answers too much.
        """
        self.calls[method] += 1
        request = self.agent.request(
            method.encode(),
            f"{self.url}{path}".encode(),
            Headers({name: [value] for name, value in headers.items()}),
            Body(body) if body else None,
        )
        request.addTimeout(timeout, self.reactor)
        try:
            response = await request
            reader = BoundedBody(limit)
            response.deliverBody(reader)
            reader.done.addTimeout(timeout, self.reactor)
            data = await reader.done
        except Exception as error:  # noqa: BLE001 - any failure below is one of the API
            raise ObjectApiError(f"{method} {path}: {error!r}") from error
        tag = response.headers.getRawHeaders("ETag", ["0"])[0]
        return response.code, data, tag.strip('"')

    async def read(self, key: str) -> StoredObject:
        """Return an object."""
        status, data, tag = await self.call(
            "GET", f"/objects/{quote(key)}", b"", {}, CALL_TIMEOUT_S
        )
        if status == 404:
            return StoredObject(key, 0, b"")
        if status != 200:
            raise ObjectApiError(f"GET {key}: status {status}")
        return StoredObject(key, version_of(key, tag), data)

    async def write(self, key: str, version: int, value: bytes) -> bool:
        """Replace one version of an object; return whether it was the newest."""
        condition = {"If-Match": f'"{version}"'} if version else {"If-None-Match": "*"}
        status, _, _ = await self.call(
            "PUT", f"/objects/{quote(key)}", value, condition, CALL_TIMEOUT_S
        )
        if status in (200, 201):
            return True
        if status in (409, 412):
            return False
        raise ObjectApiError(f"PUT {key}: status {status}")

    async def changes(self, since: int) -> tuple[int, list[StoredObject]]:
        """Return the newest revision and the objects changed since one.

        Raises
        ------
        HistoryLost
            If the object API can't tell what changed since then.
        ObjectApiError
            If it can't be reached or its answer makes no sense.
        """
        status, data, _ = await self.call(
            "GET",
            f"/objects?since={since}&wait={WATCH_S}",
            b"",
            {},
            WATCH_S + 5,
            MAX_LIST_BYTES,
        )
        if status == STATUS_GONE:
            raise HistoryLost(f"watch: nothing is known since {since}")
        if status != 200:
            raise ObjectApiError(f"watch: status {status}")
        revision, found = read_list(data)
        if revision < since:
            raise HistoryLost(f"watch: revision {revision} after {since}")
        return revision, found

    async def watch(
        self,
        on_object: Callable[[StoredObject], None],
        on_state: Callable[[bool], None],
    ) -> None:
        """Hand on all objects and each change to them, until stopped.

        A watch that broke goes on from the last revision; all objects are read
        again only if the object API has lost what came after it.
        """
        self.is_watching = True
        self.turn += 1
        turn, failures = self.turn, 0
        while self.is_watching and turn == self.turn:
            try:
                revision, found = await self.changes(self.revision)
            except ObjectApiError as error:
                if turn != self.turn:
                    return
                if isinstance(error, HistoryLost):
                    self.revision = 0
                else:
                    on_state(False)
                failures += 1
                await self.pause(failures)
                continue
            if turn != self.turn:
                return
            failures = 0
            self.revision = revision
            for item in found:
                on_object(item)
            on_state(True)

    async def pause(self, failures: int) -> None:
        """Wait before the next try, longer each time, with jitter."""
        limit = min(FIRST_PAUSE_S * 2 ** min(failures, 10), MAX_PAUSE_S)
        await deferLater(self.reactor, self.rng.uniform(limit / 2, limit))

    def stop(self) -> None:
        """End the watch; a later one reads all objects again."""
        self.is_watching = False
        self.turn += 1
        self.revision = 0


def version_of(key: str, tag: str) -> int:
    """Return the version in an entity tag.

    Raises
    ------
    ObjectApiError
        If the tag is no number.
    """
    if not tag.isdecimal():
        raise ObjectApiError(f"{key}: entity tag {tag!r} is no version")
    return int(tag)


def read_list(data: bytes) -> tuple[int, list[StoredObject]]:
    """Return revision and objects of a list.

    Raises
    ------
    ObjectApiError
        If the list makes no sense.
    """
    try:
        answer = json.loads(data)
        found = [
            StoredObject(
                str(item["key"]),
                int(item["version"]),
                json.dumps(item["value"], separators=(",", ":")).encode(),
            )
            for item in answer["objects"]
        ]
        return int(answer["revision"]), found
    except (ValueError, KeyError, TypeError) as error:
        raise ObjectApiError(f"list: {error!r}") from error
