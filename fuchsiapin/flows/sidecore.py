"""Decision core of a side process of packet flows.

It is the authority on the upstream of its VM: whether it takes new flows, which
flows it holds, and how loaded it is. It has no list of the other members; a packet
that it can't deliver goes to the next address that the balancer listed, or back.
"""

import random
from collections.abc import Callable
from typing import Any

from fuchsiapin.exceptions import MalformedObject
from fuchsiapin.flows.announcing import Announcer
from fuchsiapin.flows.delivery import FlowDelivery
from fuchsiapin.flows.effects import Probe
from fuchsiapin.flows.eras import StoreEra
from fuchsiapin.flows.evacuations import era_error
from fuchsiapin.flows.leaving import LeaveDecision
from fuchsiapin.flows.members import FlowMember
from fuchsiapin.flows.messages import ColdLimit, Evacuation, Forward, Ping
from fuchsiapin.flows.packets import PacketFormat
from fuchsiapin.flows.sidestate import SideSettings, SideState
from fuchsiapin.flows.storage import MEMBERS, StoreResult
from fuchsiapin.flows.upstreams import Heartbeat
from fuchsiapin.flows.writing import ObjectWriter
from fuchsiapin.lightclasses import replace
from fuchsiapin.timers import Timers

__all__ = ["FlowSideCore", "SideSettings", "make_flow_side_core"]

TICK_MS = 100
"""Interval of the periodic checks of load, queue and upstream, and of updates of the
moving average of waiting requests. A fifth of the longest wait in the queue, so that
expired flows are returned soon."""
REVIEW_MS = 10
"""Interval of the checks of the queue under sustained overload; a fraction of the time
within which a refusal must be told."""
MIN_REWRITE_INTERVAL_MS = 1_500
"""Minimum time after a write before a balancer's ping makes the side process write the
member again."""
MIN_PROBE_INTERVAL_MS = 400
"""Minimum time between two health checks, which take a slot of the upstream."""


class FlowSideCore:
    """Carries packets between balancers and the upstream of one VM.

    Parameters
    ----------
    record : SideSettings
        Identity and settings of this process.
    packet_format : PacketFormat
        Wire layout of packets.
    report : callable
        Takes the number and the fields of an event.
    rng : random.Random
        Source of all random numbers.
    """

    def __init__(
        self,
        record: SideSettings,
        packet_format: PacketFormat,
        report: Callable[..., None],
        rng: random.Random,
    ) -> None:
        self.record = record
        self.report = report
        self.timers = Timers()
        self.state = SideState(record, report)
        self.effects = self.state.effects
        self.upstream = self.state.upstream
        self.held = self.state.held
        self.queue = self.state.queue
        self.counts = self.state.counts
        self.announcer = Announcer(self.state)
        self.delivery = FlowDelivery(self.state, packet_format, self.announcer.zone_of)
        self.writer = ObjectWriter(MEMBERS, self.timers, self.effects, rng)
        self.leaving = LeaveDecision(
            self.state, self.announcer, self.writer, self.probe, self.on_return
        )
        self.era = StoreEra()
        self.probed_at = 0
        self.is_review_scheduled = False
        self.handlers: dict[type, Callable[[int, str, Any], None]] = {
            Forward: self.delivery.on_forward,
            Ping: self.on_ping,
            Evacuation: self.on_evacuation,
            ColdLimit: self.state.cold_start.on_message,
        }

    def start(self, now: int) -> None:
        """Probe the upstream and start the periodic checks."""
        self.state.started_at = now
        self.state.cold_start.start(now)
        self.probe(now)
        self.tick(now)

    def stop(self, now: int) -> None:
        """Begin a planned stop: take no new flows, keep serving open ones."""
        self.state.is_stopping = True
        self.announcer.report_status(now)

    def on_suspended(self, now: int) -> None:
        """Probe the upstream after the process was suspended."""
        self.probe(now)

    def probe(self, now: int) -> None:
        """Check the health of the upstream."""
        self.probed_at = now
        self.effects.append(Probe())

    def zone_of(self, host: str) -> str:
        """Return the availability zone of another process, empty if it isn't known."""
        return self.announcer.zone_of(host)

    def not_ready(self, now: int) -> str:
        """Return why no new flows are taken, empty if they are."""
        return self.state.refusal_reason(now)

    def metric_values(self, now: int) -> dict[str, dict[str, float]]:
        """Return the values of this core's metrics, by series and label."""
        return {
            "held_flows": {"": len(self.held.flows)},
            "waiting_requests": {"": self.held.unanswered_requests},
            "waiting_flows": {"": len(self.queue)},
            "arriving_flows_per_s": {
                "": self.state.admission.rates.arrivals_per_s(now)
            },
            "admitted_flows_per_s": {
                "": self.state.admission.rates.admissions_per_s(now)
            },
            "overloaded": {"": int(self.state.admission.is_overloaded)},
            "service_ms_mean": {"": round(self.held.service_ms, 1)},
            "service_ms_total": {"": self.held.times.total_ms},
            "use_mean": {"": round(self.held.times.use, 3)},
            "heartbeat_age_ms": {"": now - self.upstream.last_heartbeat_at},
            "subscribers": {"": len(self.announcer.subscribers)},
            "zone_evacuated": {"": int(self.state.is_evacuated)},
            "open_flows": {"": self.held.open_count()},
            "cold_ms": {"": self.upstream.cold_ms(now)},
            "cold_limit": {"": self.state.cold_start.limit_at(now)},
            "openings_last_s": {"": self.state.cold_start.window.count(now)},
            "answer_ms_bucket": self.held.answer_ms.cumulative_counts(),
        }

    def take_effects(self) -> list[Any]:
        """Return the pending effects in order, and clear them."""
        effects = list(self.effects)
        self.effects.clear()
        return effects

    # Packets and messages

    def on_upstream_packet(self, now: int, data: bytes) -> None:
        """Handle a packet from the upstream."""
        self.delivery.on_upstream_packet(now, data)

    def on_message(self, now: int, host: str, message: Any) -> None:
        """Handle a message from another process."""
        handler = self.handlers.get(type(message))
        if handler is not None:
            handler(now, host, message)
        if not self.is_review_scheduled:
            self.schedule_review(now)

    def schedule_review(self, now: int) -> None:
        """Schedule a check of the queue if flows wait under sustained overload."""
        self.is_review_scheduled = (
            len(self.queue) > 0 and self.state.admission.is_overloaded
        )
        if self.is_review_scheduled:
            self.timers.add(now + REVIEW_MS, self.review)

    def review(self, now: int) -> None:
        """Return the queued flows that can't be served before their deadline."""
        self.delivery.let_in(now)
        self.delivery.return_unservable(now)
        self.schedule_review(now)

    # The upstream

    def on_heartbeat(self, now: int, heartbeat: Heartbeat) -> str:
        """Handle a heartbeat; return what it changed."""
        previous = self.upstream.member
        change = self.upstream.apply_heartbeat(now, heartbeat)
        if change in ("started", "changed"):
            self.on_upstream_change(now, change, previous)
        elif change == "disputed" and now - self.probed_at > MIN_PROBE_INTERVAL_MS:
            self.probe(now)
        self.held.times.set_slots(self.state.slots)
        self.held.times.cold_until = self.upstream.cold_until
        return change

    def on_upstream_change(
        self, now: int, change: str, previous: FlowMember | None
    ) -> None:
        """React to a new state or incarnation of the upstream."""
        member = self.upstream.member
        assert member is not None
        self.report(
            6201,
            member=member.id,
            state=member.state,
            change=change,
            epoch=member.epoch,
        )
        if change == "started" and previous is not None:
            self.confirm_incarnation(now)
            self.state.lose_flows(now)
            if previous.id != member.id and previous.state != "gone":
                self.announcer.push_member(replace(previous, state="gone"))
        if member.state == "ready":
            self.write_member(now)
        self.announcer.report_status(now)
        self.announcer.announce(now)

    def confirm_incarnation(self, now: int) -> None:
        """Probe which upstream runs here if its flows may be older than this process.

        Its heartbeat may be a late one of an upstream that has ended.
        """
        is_young = now - self.state.started_at <= self.record.flow_ms
        if is_young and not self.upstream.has_seen_all_flows:
            self.probe(now)

    def write_member(self, now: int) -> None:
        """Write the upstream's member to the store if it is ready."""
        member = self.upstream.member
        if member is None or member.state != "ready":
            return
        value = [
            member.id,
            member.epoch,
            member.service,
            member.host,
            member.zone,
            member.slots,
            member.state,
        ]
        self.writer.put(now, member.id, value, is_new=not self.writer.written_at)

    def on_leave(self, now: int, member_id: str, born: int | None = None) -> bool:
        """Handle a notice that an upstream leaves; return whether it is gone by it.

        `born` is its start, ms since the epoch, None if the notice doesn't tell it.
        """
        return self.leaving.on_notice(now, member_id, born)

    def on_return(self, now: int) -> None:
        """Use an upstream again that was taken for gone."""
        self.on_upstream_change(now, "returned", None)

    def on_probe(self, now: int, outcome: str, member_id: str) -> None:
        """Handle the outcome of a health check.

        Parameters
        ----------
        now : int
            Time in ms.
        outcome : str
            `healthy`, `unhealthy`, `closed` when nothing listens on the port, or
            `silent`.
        member_id : str
            Id of the upstream that answered.
        """
        if member_id:
            self.upstream.note_probed(member_id)
        if self.upstream.member is None:
            self.note_probe_of_unknown(now, outcome)
        is_closed = outcome == "closed"
        self.upstream.was_port_closed |= is_closed
        if not is_closed or self.upstream.last_heartbeat_at <= self.probed_at:
            self.leaving.on_probe(now, outcome, member_id)
        if is_closed:
            if self.upstream.last_heartbeat_at >= self.probed_at:
                return  # it may have started since the probe was sent
            if not self.upstream.is_port_closed and self.upstream.member is not None:
                self.report(
                    6204, member=self.upstream.member.id, flows=len(self.held.flows)
                )
                self.upstream.is_port_closed = True
                self.delivery.reset_flows(now)
                self.announcer.report_status(now)
            return
        if outcome == "healthy" and self.upstream.member is None and member_id:
            self.assume_ready(now, member_id)

    def note_probe_of_unknown(self, now: int, outcome: str) -> None:
        """Record the probe of an upstream that isn't known yet.

        Once it is clear that there is none, the balancers that may still know a former
        one at this address are told.
        """
        was_absent = self.upstream.is_absent
        self.upstream.note_probe(outcome == "closed")
        if self.upstream.is_absent and not was_absent:
            self.report(6209, probes=self.upstream.closed_probes)
            self.announcer.report_status(now)

    def assume_ready(self, now: int, member_id: str) -> None:
        """Treat a healthy upstream as ready until its first heartbeat."""
        self.upstream.member = FlowMember(
            member_id,
            0,
            self.record.service,
            self.record.host,
            self.record.zone,
            1,
            "ready",
        )
        self.upstream.last_heartbeat_at = now
        self.announcer.report_status(now)

    # Balancers

    def on_ping(self, now: int, host: str, message: Ping) -> None:
        """Answer a balancer's ping and subscribe the balancer to changes.

        Only an upstream that is alive is put above a version known elsewhere.
        """
        try:
            is_raised = self.upstream.is_heard(now) and self.upstream.raise_epoch(
                message.known
            )
        except MalformedObject as error:
            self.report(6301, host=host, error=str(error))
            return
        if is_raised:
            self.write_member(now)
            self.announcer.announce(now)
        self.announcer.subscribe(now, host, message)
        is_settled = (
            self.writer.is_done
            and now - self.writer.written_at > MIN_REWRITE_INTERVAL_MS
        )
        if message.is_missing and is_settled:
            self.counts["rewritten"] += 1
            self.write_member(now)

    def on_evacuation(self, now: int, host: str, message: Evacuation) -> None:
        """Learn from a balancer whether the zone of this VM is evacuated.

        Queued new flows are returned at once, so that they are offered in other zones.
        The upstream may have turned cold shortly before its zone is in use again, also
        if the evacuation itself wasn't heard of here.
        """
        if message.zone != self.record.zone:
            return
        if error := era_error(message.version, self.era.current):
            self.report(6301, host=host, error=error)
            return
        known = self.state.zones.version(message.zone)
        is_changed = self.state.zones.put(now, message.zone, message.version)
        if message.version > known and not self.state.is_evacuated:
            self.state.cold_start.require_news(now)
        if not is_changed:
            return
        flows = self.held.open_count()
        if self.state.is_evacuated:
            self.report(6210, zone=message.zone, flows=flows)
        else:
            self.report(6211, zone=message.zone, flows=flows)
        self.delivery.review_queue(now)
        self.announcer.report_status(now)

    def tick(self, now: int) -> None:
        """Run the periodic checks, and schedule the next ones."""
        self.state.update_mean_waiting()
        self.held.times.update_use()
        self.announcer.tick(now)
        self.check_upstream(now)
        self.leaving.review(now)
        self.state.cold_start.review(now)
        self.held.expire(now, self.record.flow_ms)
        self.delivery.let_in(now)
        self.delivery.review_queue(now)
        self.state.review_admission(now)
        self.timers.add(now + TICK_MS, self.tick)

    def check_upstream(self, now: int) -> None:
        """Probe an upstream that is stalled, misses heartbeats or isn't known yet.

        One that may have left is probed, too.

        An upstream that is still unknown two heartbeat intervals after the start isn't
        probed any more, and neither is one that left or whose port is closed.
        """
        is_unknown = self.upstream.member is None
        may_be_down = (
            self.upstream.is_stalled(now)
            or (self.upstream.is_silent(now) and not is_unknown)
            or self.upstream.leave_noticed_at > 0
        )
        if is_unknown and now - self.state.started_at > 2 * self.record.interval_ms:
            return
        if (may_be_down or is_unknown) and now - self.probed_at > MIN_PROBE_INTERVAL_MS:
            is_known_down = self.upstream.member is not None and (
                self.upstream.member.state == "gone" or self.upstream.is_port_closed
            )
            if not is_known_down:
                self.probe(now)

    def on_store(self, now: int, purpose: str, answer: StoreResult) -> None:
        """Handle the answer of a call to the store.

        What a former era of the store acknowledged may be lost, so it is written again.
        """
        problem = self.era.note_answer(answer)
        if problem:
            self.report(6313, error=problem, era=self.era.current)
        self.era.note(answer.era)
        answer = self.era.screen(answer)
        was_done = self.writer.is_done
        is_own = self.writer.on_answer(now, purpose, answer)
        if is_own and self.writer.is_done and not was_done:
            key = f"members/{self.writer.name}"
            self.report(6205, key=key, outcome=answer.outcome)


def make_flow_side_core(
    record: SideSettings,
    packet_format: PacketFormat,
    report: Callable[..., None],
    rng: random.Random,
) -> FlowSideCore:
    """Return the core of a side process.

    Parameters
    ----------
    record : SideSettings
        Identity and settings of this process.
    packet_format : PacketFormat
        Wire layout of packets.
    report : callable
        Takes the number and the fields of an event.
    rng : random.Random
        Source of all random numbers.
    """
    return FlowSideCore(record, packet_format, report, rng)
