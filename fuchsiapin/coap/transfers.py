"""Keeps block-wise transfers at the upstream where they began [1]_.

References
----------
.. [1] C. Bormann, Z. Shelby, "Block-wise transfers in CoAP", RFC 7959, 2016.
"""

from aiocoap import Message
from aiocoap.numbers.codes import Code

from fuchsiapin import messages
from fuchsiapin.coap import datagrams as coap
from fuchsiapin.coap.requests import Request
from fuchsiapin.coap.sideparts import SideParts

__all__ = ["Transfers", "continues_transfer"]


def continues_transfer(answer: Message) -> bool:
    """Return whether a block-wise transfer continues after an answer."""
    block = answer.opt.block2
    return answer.code is Code.CONTINUE or (block is not None and block.more)


class Transfers:
    """Tracks the block-wise transfers of one side process.

    Parameters
    ----------
    core : SideParts
        The core that this is a part of.
    """

    def __init__(self, core: SideParts) -> None:
        self.core = core

    def hand_off_to_executor(self, request: Request) -> bool:
        """Hand a block off to where its transfer began; return whether it was.

        The stored executor of a transfer is a member id.
        """
        tag = coap.transfer_digest(request.flow, request.message)
        upload = self.core.flow_store.uploads_by_tag.get(tag)
        if upload is None or upload.executor == self.core.membership.me.id:
            return False
        peer = self.core.membership.peer(upload.executor)
        if peer is None:
            return False
        request.move_attempts = 1
        self.core.mover.hand_off(request, peer)
        return True

    def leave_to_owner(self, request: Request, answer: Message) -> bool:
        """Leave the first block of a download to the flow's new owner.

        The new owner doesn't know of this transfer, and may run a copy of the
        request: the caller would get its later blocks from another body. Returns
        whether the request was forwarded, so that the answer is not passed on.
        """
        block = answer.opt.block2
        is_first = block is not None and block.more and not block.block_number
        if not is_first or not coap.is_safe(request.message):
            return False
        owner, _ = self.core.ownership.pair(request.flow)
        if owner is None or self.core.ownership.is_self(owner):
            return False
        self.core.dispatcher.remove_request(request)
        self.core.forward_to_owner(owner, request.host, request.port, request.datagram)
        return True

    def track_transfer(self, request: Request, answer: Message, executor: str) -> None:
        """Store the id of the executor of a transfer, until the transfer ends."""
        tag = coap.transfer_digest(request.flow, request.message)
        if continues_transfer(answer):
            expires = self.core.now + coap.EXCHANGE_LIFETIME_MS
            self.core.flow_store.put_upload(
                messages.Upload(request.host, request.port, tag, executor, expires)
            )
        else:
            self.core.flow_store.uploads_by_tag.pop(tag, None)
