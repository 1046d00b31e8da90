"""Life cycle of the observations whose flows this process owns.

They are opened, replicated to the witness, taken over, notified and closed.
"""

from aiocoap import Message
from aiocoap.numbers.types import Type

from fuchsiapin import messages
from fuchsiapin.coap import datagrams as coap
from fuchsiapin.coap.observing import (
    ObservationKey,
    ServedObservation,
    first_sequence,
    observation_key,
    registration_request,
)
from fuchsiapin.coap.ownership import FlowAuthority
from fuchsiapin.coap.requests import Request
from fuchsiapin.coap.sideparts import SideParts
from fuchsiapin.messages import SendPeer

__all__ = ["ObservationManager"]

RESEND_INTERVAL_MS = 200
"""Time after which an unacknowledged update is sent to the witness again."""


class ObservationManager:
    """The observations of one side process and its upstream.

    Parameters
    ----------
    core : SideParts
        The core that this is a part of.

    Attributes
    ----------
    unacknowledged : dict
        Newest update of each observation that its witness has not acknowledged.
    """

    def __init__(self, core: SideParts) -> None:
        self.core = core
        self.unacknowledged: dict[bytes, messages.ObservationPut] = {}

    def open_observation(self, request: Request, token: bytes) -> int:
        """Open an observation; return its first sequence number."""
        key = (request.host, request.port, request.message.token)
        self.cancel_upstream(self.core.observations.drop(key))
        served = self.core.observations.serve(
            messages.Observation(
                host=request.host,
                port=request.port,
                token=request.message.token,
                request=request.datagram,
                sequence=first_sequence(self.core.now),
                balancer=self.core.last_balancers.get(request.flow, ""),
            )
        )
        self.core.observations.bind(key, token)
        sequence = self.core.observations.advance(key, self.core.now)
        self.replicate_observation(served.observation, True)
        return sequence

    def replicate_observation(
        self, observation: messages.Observation, is_open: bool
    ) -> None:
        """Have the witness store or delete an observation.

        The update is repeated until the witness acknowledges it, there is no witness
        or this process no longer owns the flow.

        A newer update of the same observation replaces this one. An update stays
        pending across a view change, because an owner installs nothing at its
        witness for flows that the same witness held in the view before.
        """
        flow = self.core.flow_store.flow_of(observation)
        key = coap.request_digest(flow, observation.token)
        self.unacknowledged.pop(key, None)
        owner, witness = self.core.ownership.pair(flow)
        if witness is None or not self.core.ownership.is_self(owner):
            return
        view = self.core.ownership.view
        update = messages.ObservationPut(
            self.core.service, view, key, observation, is_open
        )
        self.unacknowledged[key] = update
        self.core.effects.append(SendPeer(witness.host, witness.port, update))

        def resend(now: int) -> None:
            if self.unacknowledged.get(key) is update:
                self.replicate_observation(observation, is_open)

        self.core.timers.add(self.core.now + RESEND_INTERVAL_MS, resend)

    def on_observation_put(self, sender: str, message: messages.ObservationPut) -> None:
        """Store or delete an observation as its witness, and acknowledge it."""
        owner = self.core.membership.peer(sender)
        is_witness = self.core.ownership.is_witness_for(message.view, sender)
        if owner is None or not is_witness:
            return
        observation = message.observation
        if message.open:
            self.core.observations.keep(observation)
        else:
            self.core.observations.drop(observation_key(observation))
        answer = messages.ObservationAck(
            self.core.service,
            message.view,
            message.key,
            observation.sequence,
            message.open,
        )
        self.core.effects.append(SendPeer(owner.host, owner.port, answer))

    def on_observation_ack(self, sender: str, message: messages.ObservationAck) -> None:
        """Handle the witness's acknowledgement of an observation update."""
        update = self.unacknowledged.get(message.key)
        if update is None or update.view != message.view:
            return
        flow = self.core.flow_store.flow_of(update.observation)
        _, witness = self.core.ownership.pair(flow)
        is_from_witness = witness is not None and witness.id == sender
        if is_from_witness and (update.observation.sequence, update.open) == (
            message.sequence,
            message.open,
        ):
            del self.unacknowledged[message.key]

    def take_over_observations(self) -> None:
        """Register the observations of newly acquired flows at the upstream."""
        for observation in list(self.core.observations.by_key.values()):
            key = observation_key(observation)
            if key in self.core.observations.served:
                continue
            flow = self.core.flow_store.flow_of(observation)
            authority = self.core.ownership.flow_authority(flow, self.core.now)
            if authority not in (FlowAuthority.FOREIGN, FlowAuthority.SETTLING):
                self.register_observation(key, observation)

    def register_observation(
        self, key: ObservationKey, observation: messages.Observation
    ) -> None:
        """Register an observation at the upstream and start serving it."""
        self.core.observations.serve(observation)
        message = registration_request(observation)
        flow = self.core.flow_store.flow_of(observation)
        token = self.core.link.request(
            self.core.now,
            message,
            coap.transfer_digest(flow, message),
            lambda now, answer: self.on_notification(token, answer),
            True,
            True,
        )
        self.core.observations.bind(key, token)

    def register_again(self, now: int) -> None:
        """Register all observations again, as the upstream may have restarted."""
        for key in list(self.core.observations.served):
            served = self.core.observations.release(key)
            self.core.link.discard_exchange(served.upstream_token)
            self.register_observation(key, served.observation)

    def on_notification(self, token: bytes, answer: Message) -> None:
        """Forward a new state to the caller that observes it."""
        key = self.core.observations.by_token.get(token)
        if key is not None:
            self.core.observations.notify(self.core.now, key, answer)

    def on_acknowledgement(self, host: str, port: int, message: Message) -> None:
        """Handle a caller's acknowledgement or reset of a notification."""
        observations = self.core.observations
        key = observations.find(host, port, message.mid)
        if key is None:
            self.core.answers.on_acknowledgement(host, port, message.mid)
            return
        is_reset = message.mtype is Type.RST
        if is_reset or observations.acknowledge(self.core.now, key, message.mid):
            self.close_observation(key)

    def send_notification(
        self, observation: messages.Observation, datagram: bytes
    ) -> None:
        """Send a notification through the balancer that the flow last used.

        If that one is gone, any other is used, and also while a notification is
        unacknowledged: the balancer may have died without being removed.
        """
        served = self.core.observations.served.get(observation_key(observation))
        if served is not None and served.attempts:
            flow = self.core.flow_store.flow_of(observation)
            self.core.last_balancers.pop(flow, None)
        self.core.send_to_caller(observation.host, observation.port, datagram)

    def close_observation(self, key: ObservationKey) -> None:
        """Close an observation here, at the upstream and at the witness."""
        served = self.core.observations.drop(key)
        if served is not None:
            self.cancel_upstream(served)
            self.replicate_observation(served.observation, False)

    def close_for_lost_caller(self, now: int, key: ObservationKey) -> None:
        """Report and close the observation of a caller that no longer answers."""
        self.core.report(3106, host=key[0], port=key[1])
        self.close_observation(key)

    def release_observation(self, key: ObservationKey) -> None:
        """Stop serving an observation whose flow has a new owner."""
        self.cancel_upstream(self.core.observations.release(key))

    def cancel_upstream(self, served: ServedObservation | None) -> None:
        """Cancel an observation's registration at the upstream."""
        if served is None or not served.upstream_token:
            return
        self.core.link.discard_exchange(served.upstream_token)
        message = registration_request(served.observation)
        message.opt.observe = 1
        flow = self.core.flow_store.flow_of(served.observation)
        self.core.link.cancel(
            self.core.now,
            message,
            served.upstream_token,
            coap.transfer_digest(flow, message),
        )
