"""Carries events to a decision core and its effects to the world."""

import signal
from collections.abc import Callable
from typing import Any

from absl import logging
from twisted.internet.defer import ensureDeferred

from fuchsiapin import messages
from fuchsiapin.clock import Clock
from fuchsiapin.daemons.objectapi import ObjectApiClient, StoredObject
from fuchsiapin.daemons.transport import PeerTransport
from fuchsiapin.envelope import Opener, Sealer
from fuchsiapin.exceptions import MalformedEnvelope, ObjectApiError
from fuchsiapin.settings import Settings

__all__ = ["Shell"]

MS_PER_S = 1000


class Shell:
    """One daemon: a decision core, its sockets and the object API.

    Parameters
    ----------
    reactor : twisted reactor
        The loop.
    clock : Clock
        Time in ms.
    settings : Settings
        Settings of the process.
    incarnation : int
        Start time in ms.
    """

    def __init__(
        self, reactor: Any, clock: Clock, settings: Settings, incarnation: int
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.settings = settings
        self.core: Any = None
        keys = [bytes.fromhex(key) for key in settings.keys]
        self.peers = PeerTransport(
            reactor,
            Sealer(settings.name, incarnation, keys[0]),
            Opener(keys),
            self.on_message,
            self.on_dropped,
        )
        self.api = ObjectApiClient(reactor, settings.object_api)
        self.wake_call: Any = None
        self.wake_due: int | None = None
        self.dropped = 0
        self.effects: dict[type, Callable[[Any], None]] = {
            messages.SendPeer: self.send_peer,
            messages.WriteObject: self.write_object,
            messages.ReadObject: self.read_object,
            messages.Report: self.report,
            messages.Finished: self.finish,
        }

    def run(self, core: Any) -> None:
        """Start the core and serve until it has finished."""
        self.core = core
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self.on_signal)
        self.reactor.callWhenRunning(self.start)
        self.reactor.run(installSignalHandlers=False)

    def start(self) -> None:
        """Begin to watch the object API and start the core."""
        self.feed(messages.Start())
        ensureDeferred(self.api.watch(self.on_object, self.on_api_state))

    def on_signal(self, number: int, frame: Any) -> None:
        """Ask for a planned stop."""
        self.reactor.callFromThread(self.feed, messages.StopRequested())

    def feed(self, event: Any) -> None:
        """Give the core an event and carry out what it wants."""
        for effect in self.core.handle(self.clock.now(), event):
            self.effects[type(effect)](effect)
        self.plan_wake()

    def plan_wake(self) -> None:
        """Wake the core when its next timer is due."""
        due = self.core.next_due()
        if due is None or (self.wake_due is not None and self.wake_due <= due):
            return
        if self.wake_call is not None and self.wake_call.active():
            self.wake_call.cancel()
        self.wake_due = due
        delay = max(0, due - self.clock.now()) / MS_PER_S
        self.wake_call = self.reactor.callLater(delay, self.wake)

    def wake(self) -> None:
        """Let the core's due timers run."""
        self.wake_due = None
        self.feed(messages.Wake())

    def on_message(self, sender: str, incarnation: int, message: Any) -> None:
        """Give the core a message of a peer."""
        self.feed(messages.PeerMessage(sender, incarnation, message))

    def on_dropped(self, error: MalformedEnvelope) -> None:
        """Count a refused envelope and log it at a bounded rate."""
        self.dropped += 1
        logging.log_every_n_seconds(logging.WARNING, "dropped: %s", 10, error)

    def on_object(self, stored: StoredObject) -> None:
        """Give the core a stored object."""
        self.feed(messages.ObjectSeen(stored.key, stored.version, stored.value))

    def on_api_state(self, is_reachable: bool) -> None:
        """Note whether the object API answers."""

    def send_peer(self, effect: messages.SendPeer) -> None:
        """Send a message to another process."""
        self.peers.send(effect.host, effect.port, effect.message)

    def write_object(self, effect: messages.WriteObject) -> None:
        """Start a conditional update."""
        ensureDeferred(self.finish_write(effect))

    async def finish_write(self, effect: messages.WriteObject) -> None:
        """Carry out a conditional update and tell the core how it ended."""
        try:
            is_done = await self.api.write(effect.key, effect.version, effect.value)
            outcome = "done" if is_done else "conflict"
        except ObjectApiError:
            outcome = "unreachable"
        self.feed(messages.WriteFinished(effect.key, effect.change_id, outcome))

    def read_object(self, effect: messages.ReadObject) -> None:
        """Start to read an object."""
        ensureDeferred(self.finish_read(effect.key))

    async def finish_read(self, key: str) -> None:
        """Read an object and give it to the core."""
        try:
            self.on_object(await self.api.read(key))
        except ObjectApiError:
            logging.log_every_n_seconds(logging.WARNING, "can't read %s", 10, key)

    def report(self, effect: messages.Report) -> None:
        """Log a numbered event."""
        logging.info("%d %s", effect.number, effect.fields)

    def finish(self, effect: messages.Finished) -> None:
        """End the process after what was sent has left."""
        self.api.stop()
        self.reactor.callLater(0.05, self.reactor.stop)
