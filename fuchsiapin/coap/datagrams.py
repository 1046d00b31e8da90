"""CoAP messages that the side process sends and parses, encoded by `aiocoap`.

References
----------
.. [1] Z. Shelby, K. Hartke, C. Bormann, RFC 7252, 2014.
.. [2] K. Hartke, "Observing Resources in CoAP", RFC 7641, 2015.
.. [3] C. Bormann, Z. Shelby, "Block-wise transfers in CoAP", RFC 7959, 2016.
.. [4] C. Amsuess et al., "CoAP: Echo, Request-Tag, and Token Processing",
   RFC 9175, 2022.
"""

from hashlib import blake2b

from aiocoap import Message
from aiocoap.error import Error as AiocoapError
from aiocoap.numbers.codes import Code
from aiocoap.numbers.optionnumbers import OptionNumber
from aiocoap.numbers.types import Type
from aiocoap.optiontypes import OpaqueOption

from fuchsiapin.exceptions import MalformedDatagram

__all__ = [
    "EXCHANGE_LIFETIME_MS",
    "acknowledgement",
    "after_message_id",
    "answer_for_caller",
    "answer_for_peer",
    "can_be_separate",
    "error_response",
    "is_idempotent",
    "is_safe",
    "notification",
    "parse_datagram",
    "ping",
    "request_digest",
    "request_for_upstream",
    "request_head",
    "reset",
    "separate_response",
]

EXCHANGE_LIFETIME_MS = 247_000
"""Time after which a message ID may be reused [1]_."""
ACK_TIMEOUT_MS = 2_000
"""Time to the first retransmission of a confirmable message [1]_."""
MAX_RETRANSMIT = 4
"""Most retransmissions of a confirmable message [1]_."""
SEQUENCE_RANGE = 1 << 24
"""Observe sequence numbers are taken modulo this [2]_."""
DIGEST_BYTES = 12
HEADER_BYTES = 4
TYPE_SHIFT = 4
TYPE_BITS = 0b11 << TYPE_SHIFT
"""Bits of the first byte that hold the type of a message [1]_."""

SAFE_CODES = frozenset({Code.GET, Code.FETCH})
IDEMPOTENT_CODES = SAFE_CODES | {Code.PUT, Code.DELETE, Code.iPATCH}
ADDRESS_OPTIONS = frozenset({OptionNumber.URI_HOST, OptionNumber.URI_PORT})
"""Options that name the address the caller used, which is the balancer's.

They are not forwarded, because the upstream doesn't serve that address.
"""


def parse_datagram(data: bytes) -> Message:
    """Parse a datagram as a CoAP message.

    Raises
    ------
    MalformedDatagram
        If it is no CoAP message.
    """
    try:
        message = Message.decode(data)
    except (AiocoapError, ValueError, IndexError, UnicodeError) as error:
        raise MalformedDatagram(str(error)) from error
    token_length = data[0] & 0x0F
    if token_length > 8 or len(message.token) != token_length:
        raise MalformedDatagram("token length is reserved or runs past the end")
    return message


def request_digest(flow: bytes, datagram: bytes) -> bytes:
    """Return the key of a request; a retransmission has the same key.

    A retransmission repeats the datagram byte for byte.
    """
    return blake2b(flow + b"\0" + datagram, digest_size=DIGEST_BYTES).digest()


def is_safe(message: Message) -> bool:
    """Return whether the request changes nothing at the upstream."""
    return message.code in SAFE_CODES


def is_idempotent(message: Message) -> bool:
    """Return whether the request may run twice.

    All blocks of an upload but the last only fill a buffer, and the later blocks
    of an answer are read from one; neither runs anything [3]_.
    """
    if message.code in IDEMPOTENT_CODES:
        return True
    if message.opt.block1 is not None and message.opt.block1.more:
        return True
    return message.opt.block2 is not None and message.opt.block2.block_number > 0


def is_blockwise(message: Message) -> bool:
    """Return whether the request uploads a block or continues a download.

    The request for the first block of a download does not count.
    """
    return message.opt.block1 is not None or (
        message.opt.block2 is not None and message.opt.block2.block_number > 0
    )


def is_later_block(message: Message) -> bool:
    """Return whether the request continues a block-wise transfer."""
    blocks = (message.opt.block1, message.opt.block2)
    return any(block is not None and block.block_number > 0 for block in blocks)


def transfer_digest(flow: bytes, message: Message) -> bytes:
    """Return the tag of a block-wise transfer, also used as its Request-Tag."""
    path = "/".join(message.opt.uri_path)
    query = "&".join(message.opt.uri_query)
    name = f"{int(message.code)}|{path}|{query}|".encode() + flow
    return blake2b(name, digest_size=8).digest()


def request_for_upstream(
    request: Message, mid: int, token: bytes, confirmable: bool, tag: bytes
) -> bytes:
    """Return a caller's request as the side process forwards it.

    Parameters
    ----------
    request : Message
        The caller's request.
    mid : int
        Message ID between side process and upstream.
    token : bytes
        Token between side process and upstream.
    confirmable : bool
        Whether the upstream has to acknowledge it.
    tag : bytes
        Request-Tag that keeps the transfers of two callers apart [4]_.
    """
    message_type = Type.CON if confirmable else Type.NON
    copy = Message(
        code=request.code,
        payload=request.payload,
        _mtype=message_type,
        _mid=mid,
        _token=token,
    )
    for option in request.opt.option_list():
        if option.number not in ADDRESS_OPTIONS:
            copy.opt.add_option(option)
    copy.opt.add_option(OpaqueOption(OptionNumber.REQUEST_TAG, tag))
    return copy.encode()


def answer_for_caller(
    answer: Message, request: Message, mid: int, sequence: int | None = None
) -> bytes:
    """Return an upstream's answer as the answer to the caller's own request.

    It is piggybacked on the acknowledgement of a confirmable request; otherwise
    it is a non-confirmable message with the message ID `mid`.
    """
    piggybacked = request.mtype is Type.CON
    copy = Message(
        code=answer.code,
        payload=answer.payload,
        _mtype=Type.ACK if piggybacked else Type.NON,
        _mid=request.mid if piggybacked else mid,
        _token=request.token,
    )
    copy_options(answer, copy)
    copy.opt.observe = sequence
    return copy.encode()


def after_message_id(datagram: bytes) -> bytes:
    """Return a datagram without its header: token, options and payload."""
    return datagram[HEADER_BYTES:]


def can_be_separate(datagram: bytes) -> bool:
    """Return whether an answer may be sent as a separate response as well.

    It has to be piggybacked on an acknowledgement, and not to open an observation.
    """
    message = parse_datagram(datagram)
    return message.mtype is Type.ACK and message.opt.observe is None


def separate_response(datagram: bytes, mid: int) -> bytes:
    """Return a piggybacked answer as a separate confirmable response [1]_."""
    first = datagram[0] & ~TYPE_BITS | Type.CON << TYPE_SHIFT
    head = bytes([first, datagram[1]]) + mid.to_bytes(2, "big")
    return head + after_message_id(datagram)


def notification(
    answer: Message,
    token: bytes,
    mid: int,
    sequence: int | None,
    confirmable: bool = True,
) -> bytes:
    """Return a notification; one without a sequence number ends the observation."""
    copy = Message(
        code=answer.code,
        payload=answer.payload,
        _mtype=Type.CON if confirmable else Type.NON,
        _mid=mid,
        _token=token,
    )
    copy_options(answer, copy)
    copy.opt.observe = sequence
    return copy.encode()


def answer_for_peer(answer: Message) -> bytes:
    """Return an upstream's answer encoded for another side process."""
    copy = Message(
        code=answer.code, payload=answer.payload, _mtype=Type.ACK, _mid=0, _token=b""
    )
    for option in answer.opt.option_list():
        copy.opt.add_option(option)
    return copy.encode()


def request_head(datagram: bytes) -> bytes:
    """Return header and token of a request, which suffice to answer it."""
    return datagram[: HEADER_BYTES + (datagram[0] & 0x0F)]


def copy_options(source: Message, target: Message) -> None:
    """Copy the options of an answer, except the Observe sequence number."""
    for option in source.opt.option_list():
        if option.number != OptionNumber.OBSERVE:
            target.opt.add_option(option)


def error_response(
    request: Message, code: Code, mid: int, max_age_s: int, text: str
) -> bytes:
    """Return an error answer that the side process itself generates.

    Parameters
    ----------
    request : Message
        The caller's request.
    code : Code
        5.03 and 4.29 mean that it was not run, 5.04 that the outcome is unknown.
    mid : int
        Message ID, used when the request is not confirmable.
    max_age_s : int
        Time after which the caller may retry, in seconds.
    text : str
        Diagnostic payload.
    """
    answer = Message(code=code, payload=text.encode())
    answer.opt.max_age = max_age_s
    return answer_for_caller(answer, request, mid)


def acknowledgement(mid: int) -> bytes:
    """Return an empty acknowledgement."""
    return Message(code=Code.EMPTY, _mtype=Type.ACK, _mid=mid, _token=b"").encode()


def reset(mid: int) -> bytes:
    """Return a reset message."""
    return Message(code=Code.EMPTY, _mtype=Type.RST, _mid=mid, _token=b"").encode()


def ping(mid: int) -> bytes:
    """Return a CoAP ping: an empty confirmable message, answered with a reset."""
    return Message(code=Code.EMPTY, _mtype=Type.CON, _mid=mid, _token=b"").encode()
