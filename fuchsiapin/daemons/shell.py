"""Shell of a daemon: passes events to a decision core and executes its effects."""

import signal
from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet.defer import ensureDeferred
from twisted.internet.task import LoopingCall

from fuchsiapin import __version__, messages
from fuchsiapin.clock import Clock
from fuchsiapin.coap.envelope import EnvelopeDecoder, EnvelopeEncoder
from fuchsiapin.coap.relaytree import Contact
from fuchsiapin.coap.statuses import describers, known_processes
from fuchsiapin.daemons.admin import AdminResource, listen_admin
from fuchsiapin.daemons.eventlog import EventLog, write_json_lines
from fuchsiapin.daemons.lifecycle import LifecycleActions, make_lifecycle
from fuchsiapin.daemons.listening import listen_or_exit
from fuchsiapin.daemons.objectapi import ObjectApiClient, StoredObject
from fuchsiapin.daemons.transport import PeerTransport
from fuchsiapin.exceptions import MalformedEnvelope, ObjectApiError, error_location
from fuchsiapin.metrics import Metrics
from fuchsiapin.settings import Settings

__all__ = ["Shell"]

MS_PER_S = 1000
STATUS_CHECK_S = 1.0
"""Interval of the checks for changes in the status of this process."""
EXIT_DELAY_S = 0.05
"""Delay before exit, so that the last datagrams are sent."""


class Shell:
    """One daemon: a decision core, its sockets and its client of the object API.

    Parameters
    ----------
    reactor : twisted reactor
        The event loop.
    clock : Clock
        Time in ms.
    settings : Settings
        Settings of the process.
    incarnation : int
        Start time in ms.
    role : str
        Role of the process.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        settings: Settings,
        incarnation: int,
        role: str,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.settings = settings
        self.role = role
        self.core: Any = None
        self.lifecycle = make_lifecycle(
            LifecycleActions(self.start, self.begin_stop, self.end)
        )
        self.log = EventLog(clock, settings.name)
        self.metrics = Metrics(
            settings.name, role, settings.availability_zone, settings.service
        )
        self.api_state = "unknown"
        self.last_status: messages.ProcessStatus | None = None
        keys = [bytes.fromhex(key) for key in settings.keys]
        self.peers = PeerTransport(
            reactor,
            EnvelopeEncoder(settings.name, incarnation, keys[0], clock),
            EnvelopeDecoder(keys, clock),
            self.on_message,
            self.on_dropped,
            self.metrics.count_sent,
        )
        self.api = ObjectApiClient(reactor, settings.object_api)
        self.wake_call: Any = None
        self.wake_due: int | None = None
        self.effect_handlers: dict[type, Callable[[Any], None]] = {
            messages.SendPeer: self.send_peer,
            messages.WriteObject: self.write_object,
            messages.ReadObject: self.read_object,
            messages.WatchObjects: self.watch_objects,
            messages.Report: self.report,
            messages.Finished: self.on_finished,
        }

    def seeds(self) -> list[Contact]:
        """Return the balancers in the settings, without ids, which aren't known yet."""
        return [Contact("", seed.host, seed.port) for seed in self.settings.seeds]

    def listen_admin(self) -> str:
        """Listen on the admin address; return it, empty if none is set."""
        admin = self.settings.admin
        if admin is None:
            return ""
        resource = AdminResource(self.status, self.known_peers, self.render_metrics)
        port = listen_or_exit(
            "admin", listen_admin, self.reactor, admin.host, admin.port, resource
        )
        return f"{admin.host}:{port}"

    def run(self, core: Any) -> None:
        """Run the core in the event loop until it has finished."""
        self.core = core
        write_json_lines()
        self.report_event(
            1101,
            role=self.role,
            version=__version__,
            incarnation=self.peers.encoder.incarnation,
        )
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self.on_signal)
        self.reactor.callWhenRunning(self.lifecycle.started)
        self.reactor.run(installSignalHandlers=False)

    def start(self) -> None:
        """Start the core."""
        self.feed(messages.Start())
        checks = LoopingCall(self.guard, "status", self.log_status_changes)
        checks.clock = self.reactor
        checks.start(STATUS_CHECK_S, now=False)

    def on_signal(self, number: int, frame: Any) -> None:
        """Request a planned stop."""
        self.reactor.callFromThread(self.lifecycle.stop_requested)

    def begin_stop(self) -> None:
        """Start the planned stop of the core."""
        self.report_event(1102)
        self.feed(messages.StopRequested())

    def feed(self, event: Any) -> None:
        """Run the core's due timers, pass it an event, and execute the effects.

        A timer that fails leaves the later ones due; none of them, and no effect, may
        stop the others or lose the event.
        """
        now = self.clock.now()
        while (due := self.core.next_due()) is not None and due <= now:
            self.handle(now, messages.Wake())
        if not isinstance(event, messages.Wake):
            self.handle(now, event)
        self.schedule_wake()

    def handle(self, now: int, event: Any) -> None:
        """Pass an event to the core and execute its effects."""
        name = type(event).__name__
        effects = self.guard(name, self.core.handle, now, event)
        if effects is None:
            effects = list(self.core.effects)
            self.core.effects.clear()
        for effect in effects:
            kind = type(effect)
            self.guard(kind.__name__, self.effect_handlers[kind], effect)

    def guard(self, name: str, call: Callable[..., Any], *args: Any) -> Any:
        """Return the result of a call; report an error and return None."""
        try:
            return call(*args)
        except Exception as error:  # noqa: BLE001 - no error may stop the process
            self.report_failure(name, error)
            return None

    def report_failure(self, name: str, error: BaseException) -> None:
        """Log and count an internal error."""
        self.report_event(
            1302, event=name, error=repr(error), where=error_location(error)
        )

    def run_task(self, name: str, task: Coroutine[Any, Any, None]) -> None:
        """Run a task in the event loop; report an error."""
        ensureDeferred(task).addErrback(
            lambda failure: self.report_failure(name, failure.value)
        )

    def schedule_wake(self) -> None:
        """Schedule a call for the core's next timer."""
        due = self.core.next_due()
        if due is None or (self.wake_due is not None and self.wake_due <= due):
            return
        if self.wake_call is not None and self.wake_call.active():
            self.wake_call.cancel()
        self.wake_due = due
        delay = max(0, due - self.clock.now()) / MS_PER_S
        self.wake_call = self.reactor.callLater(delay, self.wake)

    def wake(self) -> None:
        """Run the core's due timers."""
        self.wake_due = None
        self.feed(messages.Wake())

    def on_message(self, sender: str, incarnation: int, message: Any) -> None:
        """Pass a peer's message to the core."""
        self.feed(messages.PeerMessage(sender, incarnation, message))

    def on_dropped(self, error: MalformedEnvelope) -> None:
        """Log and count a dropped envelope."""
        self.report_event(1301, error=str(error))

    def on_object(self, stored: StoredObject) -> None:
        """Pass a stored object to the core."""
        self.feed(messages.ObjectSeen(stored.key, stored.version, stored.value))

    def on_api_state(self, is_reachable: bool) -> None:
        """Pass on to the core whether the watch of the object API works."""
        self.record_api_state(is_reachable)
        self.feed(messages.WatchState(is_reachable))

    def on_api_problem(self, key: str, reason: str) -> None:
        """Log why an entry of the list of objects, or the whole list, wasn't read."""
        if key:
            self.report_event(1204, key=key, error=reason)
        else:
            self.report_event(1203, key="objects", error=reason)

    def record_api_state(self, is_reachable: bool) -> None:
        """Record whether the object API answered; log a change."""
        state = "reachable" if is_reachable else "unreachable"
        if state != self.api_state:
            self.api_state = state
            if is_reachable:
                self.report_event(1202)
            else:
                self.report_event(1201)

    def watch_objects(self, effect: messages.WatchObjects) -> None:
        """Start or stop the watch of all stored objects."""
        if not effect.is_wanted:
            self.api.stop()
        elif not self.api.is_watching:
            self.run_task(
                "watch",
                self.api.watch(self.on_object, self.on_api_state, self.on_api_problem),
            )

    def send_peer(self, effect: messages.SendPeer) -> None:
        """Send a message to another process."""
        self.peers.send(effect.host, effect.port, effect.message)

    def write_object(self, effect: messages.WriteObject) -> None:
        """Start a conditional write."""
        self.run_task("write", self.finish_write(effect))

    async def finish_write(self, effect: messages.WriteObject) -> None:
        """Make a conditional write and pass its outcome to the core."""
        try:
            is_written = await self.api.write(effect.key, effect.version, effect.value)
            outcome = "done" if is_written else "conflict"
        except ObjectApiError:
            outcome = "unreachable"
        self.record_api_state(outcome != "unreachable")
        self.feed(messages.WriteFinished(effect.key, effect.change_id, outcome))

    def read_object(self, effect: messages.ReadObject) -> None:
        """Start reading an object."""
        self.run_task("read", self.finish_read(effect.key))

    async def finish_read(self, key: str) -> None:
        """Read an object and pass it to the core."""
        try:
            self.on_object(await self.api.read(key))
            self.record_api_state(True)
        except ObjectApiError as error:
            self.record_api_state(False)
            self.report_event(1203, key=key, error=str(error))

    # Events, status and metrics

    def report(self, effect: messages.Report) -> None:
        """Log and count a numbered event of the core."""
        self.log.record(effect.number, effect.fields)
        self.metrics.record(effect.number, effect.fields)

    def report_event(self, number: int, **fields: Any) -> None:
        """Log and count a numbered event of the shell itself."""
        self.report(messages.Report(number, fields))

    def status(self) -> messages.ProcessStatus:
        """Return the status of this process."""
        describe = describers.get(self.role)
        return describe(self.core, __version__, self.api_state, self.log.counts())

    def known_peers(self) -> list[messages.KnownProcess]:
        """Return the other processes that this process knows of."""
        return known_processes.get(self.role)(self.core)

    def render_metrics(self) -> bytes:
        """Return the metrics of the process as text."""
        self.metrics.update_status(self.status())
        return self.metrics.render()

    def log_status_changes(self) -> None:
        """Log changes of readiness, configuration and views."""
        before, now = self.last_status, self.status()
        self.last_status = now
        reasons = before.not_ready if before else None
        if now.not_ready and now.not_ready != reasons:
            self.report_event(1105, reasons=now.not_ready)
        elif not now.not_ready and reasons != []:
            self.report_event(1104)
        if now.config != (before.config if before else 0):
            self.report_event(1403, config=now.config)
        self.log_view_changes(before.views if before else [], now.views)

    def log_view_changes(
        self, before: list[messages.ViewStatus], now: list[messages.ViewStatus]
    ) -> None:
        """Log changes of the newest and of the active views."""
        earlier_views = {view.service: view for view in before}
        for view in now:
            earlier = earlier_views.get(view.service)
            if view.number != (earlier.number if earlier else 0):
                members = len(view.members)
                self.report_event(
                    1401, service=view.service, view=view.number, members=members
                )
            if view.active != (earlier.active if earlier else 0):
                self.report_event(1402, service=view.service, view=view.active)

    def on_finished(self, effect: messages.Finished) -> None:
        """End the process: the core has nothing left to do."""
        self.lifecycle.finished()

    def end(self) -> None:
        """Stop the event loop, after a delay for the last datagrams."""
        self.report_event(1103)
        self.api.stop()
        self.reactor.callLater(EXIT_DELAY_S, self.reactor.stop)
