"""Tests of the object API client with a stand-in for it, over a real socket."""

import json
import random
import unittest
from typing import Any

from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import deferLater

from fuchsiapin.daemons.objectapi import ObjectApiClient, parse_list, parse_version
from fuchsiapin.exceptions import ObjectApiError
from fuchsiapin.tests.reactorthread import call_in_reactor, run_in_reactor
from fuchsiapin.tests.standins.objectapi import Faults, make_site

LISTEN_BACKLOG = 50


class ClientTest(unittest.TestCase):
    """Reads, conditional writes and watches under faults."""

    def setUp(self) -> None:
        self.faults = Faults()
        self.site = make_site(reactor, self.faults)
        self.port = call_in_reactor(
            reactor.listenTCP, 0, self.site, LISTEN_BACKLOG, "127.0.0.1"
        )
        url = f"http://127.0.0.1:{self.port.getHost().port}"
        self.client = ObjectApiClient(reactor, url, random.Random(1))
        # Key and version of each delivered object.
        self.seen: list[tuple[str, int]] = []
        # States that the watch reported: true after a success, false after a failure.
        self.states: list[bool] = []

    def tearDown(self) -> None:
        run_in_reactor(self.close())

    async def close(self) -> None:
        """Close the watch, the connections and the port."""
        self.client.stop()
        await self.client.pool.closeCachedConnections()
        await self.port.stopListening()

    @property
    def store(self) -> Any:
        """The store of the stand-in."""
        return self.site.resource.store

    async def wait_until(self, condition: Any) -> None:
        """Wait until a condition holds."""
        for _ in range(10_000):
            if condition():
                return
            await deferLater(reactor, 0.001)
        self.fail("the condition did not become true in time")

    def start_watch(self) -> None:
        """Start a watch that appends to `seen` and `states`."""
        ensureDeferred(
            self.client.watch(
                lambda item: self.seen.append((item.key, item.version)),
                self.states.append,
            )
        )

    def test_conditional_writes_and_reads(self) -> None:
        async def session() -> list[Any]:
            done = [
                await self.client.write("config/a", version, b"{}")
                for version in (0, 0)
            ]
            stored = await self.client.read("config/a")
            absent = await self.client.read("config/b")
            return [done, stored.version, stored.value, absent.version]

        self.assertEqual(run_in_reactor(session()), [[True, False], 1, b"{}", 0])
        self.assertEqual(self.client.calls, {"PUT": 2, "GET": 2})
        self.assertEqual(len(self.client.pool._connections), 1)

    def test_lost_response_is_an_error_but_the_write_is_stored(self) -> None:
        self.faults.lose_answers = 1

        async def session() -> int:
            with self.assertRaises(ObjectApiError):
                await self.client.write("config/a", 0, b"{}")
            return (await self.client.read("config/a")).version

        self.assertEqual(run_in_reactor(session()), 1)

    def test_body_over_the_limit_is_refused(self) -> None:
        self.store.put("config/a", "x" * 1_100_000)

        async def session() -> None:
            with self.assertRaises(ObjectApiError):
                await self.client.read("config/a")

        run_in_reactor(session())

    def test_value_of_one_megabyte_is_accepted(self) -> None:
        value = json.dumps("x" * 999_990).encode()

        async def session() -> int:
            await self.client.write("config/a", 0, value)
            return len((await self.client.read("config/a")).value)

        self.assertEqual(run_in_reactor(session()), len(value))

    def test_watch_resumes_from_the_last_revision_after_an_outage(self) -> None:
        async def session() -> None:
            self.store.put("a", 1)
            self.start_watch()
            await self.wait_until(lambda: self.store.counts.get("watch") == 2)
            self.store.put("b", 2)
            await self.wait_until(lambda: len(self.seen) == 2)
            self.faults.outage = True
            self.store.put("c", 3)
            await self.wait_until(lambda: False in self.states)
            self.faults.outage = False
            await self.wait_until(lambda: len(self.seen) == 3)

        run_in_reactor(session())
        self.assertEqual(self.seen, [("a", 1), ("b", 2), ("c", 3)])

    def test_watch_from_a_discarded_revision_causes_a_full_list(self) -> None:
        async def session() -> None:
            self.store.put("a", 1)
            self.start_watch()
            await self.wait_until(lambda: self.store.counts.get("watch") == 2)
            self.faults.oldest = 3
            self.store.put("b", 2)
            await self.wait_until(lambda: len(self.seen) > 2)

        run_in_reactor(session())
        self.assertEqual(self.seen, [("a", 1), ("b", 2), ("a", 1), ("b", 2)])

    def test_store_with_an_older_revision_is_read_in_full(self) -> None:
        self.client.revision = 9

        async def session() -> None:
            self.store.put("a", 1)
            self.start_watch()
            await self.wait_until(lambda: len(self.seen) == 1)

        run_in_reactor(session())
        self.assertEqual(self.client.revision, 1)

    def test_restart_ends_the_former_watch(self) -> None:
        async def session() -> None:
            self.start_watch()
            await self.wait_until(lambda: self.store.counts.get("watch"))
            self.client.stop()
            self.start_watch()
            await self.wait_until(lambda: self.store.counts["watch"] == 2)
            self.store.put("a", 1)
            await self.wait_until(lambda: self.store.counts["watch"] == 3)
            await deferLater(reactor, 0.05)

        run_in_reactor(session())
        self.assertEqual(self.seen, [("a", 1)])
        self.assertEqual(self.store.counts["watch"], 3)

    def test_malformed_responses_are_errors(self) -> None:
        problems: list[tuple[str, str]] = []
        data = b'{"objects": [1], "revision": 1}'
        found = parse_list(data, lambda key, reason: problems.append((key, reason)))
        self.assertEqual((found, len(problems)), ((1, []), 1))
        for data in (b"x", b"[]", b'{"objects": 1, "revision": 1}', b"{}"):
            with self.assertRaises(ObjectApiError):
                parse_list(data)
        with self.assertRaises(ObjectApiError):
            parse_version("a", "W/x")


if __name__ == "__main__":
    unittest.main()
