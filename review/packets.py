"""Packets of the platform as clients and backends write them."""

import hashlib
import struct
from dataclasses import dataclass

HEADER = struct.Struct(">IB5s4s6s6sIIH")
"""Fields: echo, flags, pad, sum, dst, src, seq, ack, len."""
SYN, ACK, FIN, RST, BOUNCED = 8, 1, 16, 32, 128
SYSTEM_SUM = bytes(4)
"""Value of `sum` in a reset of the system's own."""
KEY = b"known to clients and backends"
MASK = 0xFFFF_FFFF


@dataclass(frozen=True)
class Packet:
    """One packet; `dst` and `src` are an address and a port, 6 bytes each."""

    flags: int
    sum: bytes
    dst: bytes
    src: bytes
    seq: int
    ack: int
    body: bytes
    echo: int = 0
    pad: bytes = bytes(5)

    @property
    def is_intact(self) -> bool:
        """Return whether the packet is as its sender wrote it."""
        is_clear = self.echo == 0 and self.pad == bytes(5) and not self.flags & BOUNCED
        return is_clear and self.sum == checksum(
            self.flags, self.dst, self.src, self.seq, self.ack, self.body
        )


def checksum(
    flags: int, dst: bytes, src: bytes, seq: int, ack: int, body: bytes
) -> bytes:
    """Return the keyed sum over all fields but echo, pad and BOUNCED."""
    head = struct.pack(">B6s6sIIH", flags & ~BOUNCED, dst, src, seq, ack, len(body))
    return hashlib.blake2s(head + body, digest_size=4, key=KEY).digest()


def write_packet(
    flags: int, dst: bytes, src: bytes, seq: int, ack: int, body: bytes = b""
) -> bytes:
    """Return a packet as bytes."""
    seq, ack = seq & MASK, ack & MASK
    total = checksum(flags, dst, src, seq, ack, body)
    return HEADER.pack(0, flags, bytes(5), total, dst, src, seq, ack, len(body)) + body


def read_packet(data: bytes) -> Packet:
    """Return the packet in a datagram."""
    echo, flags, pad, total, dst, src, seq, ack, length = HEADER.unpack_from(data)
    body = data[HEADER.size : HEADER.size + length]
    return Packet(flags, total, dst, src, seq, ack, body, echo, pad)


def endpoint(host: str, port: int) -> bytes:
    """Return an address and a port as in headers."""
    return bytes(map(int, host.split("."))) + port.to_bytes(2, "big")


def endpoint_text(value: bytes) -> str:
    """Return an address and a port as text."""
    return ".".join(map(str, value[:4])) + f":{int.from_bytes(value[4:], 'big')}"
