"""Client of the platform's object API: reads, conditional updates, list watches."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from fuchsiapin.exceptions import ObjectApiError

__all__ = ["ObjectApiClient", "StoredObject"]

CALL_TIMEOUT_S = 2.0
WATCH_S = 20
"""How long the object API may keep a watch waiting."""
RETRY_S = 0.5
"""Pause after a watch that failed."""


@dataclass(frozen=True)
class StoredObject:
    """An object as the object API holds it; version 0 when it doesn't exist."""

    key: str
    version: int
    value: bytes


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
    """

    def __init__(self, reactor: Any, url: str) -> None:
        self.reactor = reactor
        self.url = url.rstrip("/")
        pool = HTTPConnectionPool(reactor)
        self.agent = Agent(reactor, connectTimeout=CALL_TIMEOUT_S, pool=pool)
        self.is_watching = False

    async def call(
        self, method: str, path: str, body: bytes, headers: dict, timeout: float
    ) -> tuple[int, bytes, str]:
        """Return status, body and entity tag of one call.

        Raises
        ------
        ObjectApiError
            If the object API can't be reached in time.
        """
        request = self.agent.request(
            method.encode(),
            f"{self.url}{path}".encode(),
            Headers({name: [value] for name, value in headers.items()}),
            Body(body) if body else None,
        )
        request.addTimeout(timeout, self.reactor)
        try:
            response = await request
            reading = readBody(response)
            reading.addTimeout(timeout, self.reactor)
            data = await reading
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
        return StoredObject(key, int(tag), data)

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
        """Return the newest revision and the objects changed since one."""
        status, data, _ = await self.call(
            "GET", f"/objects?since={since}&wait={WATCH_S}", b"", {}, WATCH_S + 5
        )
        if status != 200:
            raise ObjectApiError(f"watch: status {status}")
        answer = json.loads(data)
        found = [
            StoredObject(
                item["key"], item["version"], json.dumps(item["value"]).encode()
            )
            for item in answer["objects"]
        ]
        return answer["revision"], found

    async def watch(
        self,
        on_object: Callable[[StoredObject], None],
        on_state: Callable[[bool], None],
    ) -> None:
        """Hand on all objects and each change to them, until stopped."""
        self.is_watching = True
        revision = 0
        while self.is_watching:
            try:
                revision, found = await self.changes(revision)
            except (ObjectApiError, ValueError, KeyError):
                on_state(False)
                revision = 0
                await deferLater(self.reactor, RETRY_S)
                continue
            on_state(True)
            for item in found:
                on_object(item)

    def stop(self) -> None:
        """End the watch after the current call."""
        self.is_watching = False
