"""Interoperability with a standard CoAP client, `aiocoap` in its default settings."""

import asyncio
import contextlib
import random
import socket
from collections.abc import AsyncIterator
from typing import Any

from aiocoap import CHANGED, CONTENT, GET, NOT_FOUND, POST, PUT, Context, Message

from fuchsiapin.tests.fleets import FleetCase
from tools.processes import answers_ping, call, wait_until

ANSWER_S = 60
UPLOAD = b"bundle-1\n" + b"x" * 5_000
MIN_LONG_BYTES = 2_500
"""More than two blocks, so that a download takes three."""


@contextlib.asynccontextmanager
async def client() -> AsyncIterator[Context]:
    """Create a client context, and shut it down at the end."""
    context = await Context.create_client_context()
    try:
        yield context
    finally:
        await context.shutdown()


class StandardClientTest(FleetCase):
    """Every kind of request, through one balancer and through the fabric.

    The fabric sends each datagram to a balancer that it draws at random.
    """

    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        cls.fleet = cls.start_fleet(cls.addClassCleanup)
        fabric = cls.fleet.start_fabric("swapdesk")
        cls.front = (fabric.host, fabric.port)
        cls.control = fabric.admin
        wait_until(lambda: answers_ping(cls.front), ANSWER_S, "fabric")

    def fronts(self) -> list[tuple[str, int]]:
        """Return the addresses of one balancer and of the fabric."""
        return [self.fleet.addresses("swapdesk")[1], self.front]

    def on_each(self, session: Any) -> None:
        """Run a session against each address that `fronts` returns."""
        for front in self.fronts():
            with self.subTest(front=front):
                uri = f"coap://{front[0]}:{front[1]}"
                asyncio.run(asyncio.wait_for(session(uri), ANSWER_S))

    def test_get_post_put_and_unknown_path(self) -> None:
        async def session(uri: str) -> None:
            async with client() as context:
                for code, path, wanted in [
                    (GET, "board", CONTENT),
                    (POST, "claims", CHANGED),
                    (PUT, "claims", CHANGED),
                    (GET, "nowhere", NOT_FOUND),
                    (POST, "no/where", NOT_FOUND),
                ]:
                    body = b"" if code is GET else f"{code} {path} {uri}".encode()
                    request = Message(code=code, uri=f"{uri}/{path}", payload=body)
                    answer = await context.request(request).response
                    self.assertEqual(answer.code, wanted, path)
                    if wanted is CHANGED:
                        self.assertTrue(answer.payload.endswith(body))

        self.on_each(session)

    def test_many_requests_at_once_get_their_own_answers(self) -> None:
        async def post(context: Context, uri: str, number: int) -> None:
            body = f"claim {number} by {uri}".encode()
            request = Message(code=POST, uri=f"{uri}/claims", payload=body)
            answer = await context.request(request).response
            self.assertTrue(answer.payload.endswith(body))

        async def session(uri: str) -> None:
            async with client() as context:
                await asyncio.gather(*(post(context, uri, n) for n in range(20)))

        self.on_each(session)
        ran = [e["body"] for log in self.executions() for e in log]
        self.assertEqual(len(ran), len(set(ran)))

    def executions(self) -> list[list[dict[str, Any]]]:
        """Return the execution logs of all upstreams."""
        return list(self.fleet.executions("swapdesk").values())

    def test_observe_and_its_cancellation(self) -> None:
        async def session(uri: str) -> None:
            async with client() as context:
                request = Message(code=GET, uri=f"{uri}/board", observe=0)
                pending = context.request(request)
                first = await pending.response
                self.assertEqual(first.payload, b"swapdesk board")
                states = aiter(pending.observation)
                numbers = [(await anext(states)).opt.observe for _ in range(3)]
                self.assertEqual(numbers, sorted(set(numbers)))
                pending.observation.cancel()
                await asyncio.to_thread(
                    wait_until, self.has_no_observer, ANSWER_S, "end of observation"
                )

        self.on_each(session)

    def has_no_observer(self) -> bool:
        """Return whether no upstream has a registered observer."""
        reports = [
            call("GET", f"{p.admin}/health") for p in self.fleet.of_role("upstream")
        ]
        return all(health["observers"] == 0 for health in reports)

    def test_blockwise_upload_and_long_answer(self) -> None:
        async def session(uri: str) -> None:
            async with client() as context:
                body = f"bundle by {uri}\n".encode() + UPLOAD
                request = Message(code=POST, uri=f"{uri}/photos", payload=body)
                answer = await context.request(request).response
                self.assertEqual(answer.code, CHANGED)
                self.assertTrue(answer.payload.endswith(f"bundle by {uri}".encode()))
                request = Message(code=GET, uri=f"{uri}/long?day=1")
                answer = await context.request(request).response
                self.assertEqual(answer.code, CONTENT)
                self.assertGreater(len(answer.payload), MIN_LONG_BYTES)
                self.assertEqual(len(set(answer.payload.split(b"\n")[1].split())), 1)

        self.on_each(session)

    def test_requests_over_links_that_drop_duplicate_and_reorder(self) -> None:
        faults = {"loss": 0.05, "duplicate": 0.1, "reorder": 0.1, "jitter_ms": 5}
        call("PUT", self.control, faults)
        self.addCleanup(call, "PUT", self.control, dict.fromkeys(faults, 0))

        async def session(uri: str) -> None:
            async with client() as context:
                for number in range(10):
                    body = f"lossy {number} by {uri}".encode()
                    request = Message(code=POST, uri=f"{uri}/claims", payload=body)
                    answer = await context.request(request).response
                    self.assertTrue(answer.payload.endswith(body))

        self.on_each(session)
        ran = [e["body"] for log in self.executions() for e in log]
        self.assertEqual(len(ran), len(set(ran)))

    def test_ping_is_answered_after_malformed_datagrams(self) -> None:
        rng = random.Random(1)
        for front in self.fronts():
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                for size in (0, 1, 3, 4, 5, 17, 900, 9_000, 60_000):
                    udp.sendto(rng.randbytes(size), front)
                    udp.sendto(b"\x40\x01" + rng.randbytes(size), front)
                    udp.sendto(b"\x4f\x01\0\0" + rng.randbytes(size), front)
            wait_until(lambda f=front: answers_ping(f), ANSWER_S, "ping")
        self.fleet.check_alive()
