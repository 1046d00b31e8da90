"""Messages between the processes of packet flows are checked when they are decoded."""

import unittest

import msgpack

from fuchsiapin.exceptions import MalformedEnvelope
from fuchsiapin.flows.messages import (
    Ask,
    Buckets,
    ColdLimit,
    Copy,
    Digest,
    Era,
    Evacuation,
    Forward,
    Held,
    Known,
    Part,
    Ping,
    Pull,
    Returned,
    Silence,
)
from fuchsiapin.flows.wire import LAYOUTS, decode_message, encode_message

VALUES = {str: "a", int: 1, bool: True, bytes: b"a" * 12}
FLOW = b"a" * 12
LONG = "z" * 60_000


class CheckTest(unittest.TestCase):
    """A message with a wrong field is rejected, whichever field it is."""

    def test_each_field_is_checked(self) -> None:
        for number, layout in enumerate(LAYOUTS):
            right = [VALUES.get(kind) or [VALUES[item]] for _, kind, item, _ in layout]
            decode_message(msgpack.packb([number, *right]))
            for index, (name, kind, item, _) in enumerate(layout):
                wrong_values = [None, 1.5, {}, 1 if kind is bool else True]
                wrong_values += [[*right[index], None], [True]] if item else []
                for wrong in wrong_values:
                    values = [*right[:index], wrong, *right[index + 1 :]]
                    with self.assertRaisesRegex(MalformedEnvelope, f"field '{name}'"):
                        decode_message(msgpack.packb([number, *values]))

    def test_values_out_of_range_are_refused(self) -> None:
        # They can't be packed again, beat all real versions, or fill the memory.
        for message in (
            Forward(LONG, "10.0.0.1", 0, 0, False, [], b""),
            Forward("desk", "10.0.0.1", 2**63, 0, False, [], b""),
            Forward("desk", "10.0.0.1", 0, 2**63, False, [], b""),
            Returned("desk", LONG, 0, False, [], b""),
            *(Held(b"a" * size, False, []) for size in (0, 11, 13, 60_000)),
            Ping(LONG, 8, False),
            *(Ping("zone-a", known, False) for known in (-1, 2**63, 2**64 - 1)),
            Digest(LONG, "zone-a", 1, 2, 3),
            Digest("entry-1", "zone-a", 2**63, 2, 3),
            Digest("entry-1", "zone-a", 1, -2, 3),
            Buckets([-1]),
            Pull([1], ["members/u1"], [2**63]),
            Ask(b""),
            Known(b"a" * 11, "", 7),
            *(Era(era) for era in (-1, 2**63)),
            *(Evacuation("zone-a", version) for version in (-1, 2**63)),
            *(ColdLimit(1, limit) for limit in (-1, 2**31)),
            ColdLimit(2**63, 1),
            Silence(LONG),
            *(Part("members/u1", 1, index, 2, b"") for index in (-1, 2**63)),
            Part("members/u1", 1, 0, 2**63, b""),
            Part(LONG, 1, 0, 2, b""),
            Copy(LONG, 1, b""),
            *(Copy("members/u1", version, b"") for version in (-1, 2**63)),
        ):
            with self.subTest(message=str(message)[:80]):
                data = encode_message(message)
                with self.assertRaisesRegex(MalformedEnvelope, "out of range"):
                    decode_message(data)

    def test_extreme_values_of_the_former_build_are_accepted(self) -> None:
        for message in (
            Forward("desk", "10.0.0.1", -(2**47), -1, True, ["10.0.0.2"] * 4_000, b""),
            Returned("desk", "a reason", -(2**47), True, [0, 0, 0, 2**40, 0], b""),
            Digest("", "", 0, 2**64 - 1, 0),
            Digest("entry-1", "zone-a", 1, 2, -5),
            Buckets([2**64 - 1] * 64),
            Pull([], ["evacuations/" + "z" * 255], [0]),
            Known(FLOW, "", 2**64 - 1),
            Copy("evacuations/" + "z" * 255, 2**63 - 1, b"a" * 60_000),
        ):
            self.assertEqual(decode_message(encode_message(message)), message)

    def test_the_number_of_fields_is_checked(self) -> None:
        for data in ([3, "zone-a", 8], [3, "zone-a", 8, False, 1], [99], [], 3):
            with self.assertRaises(MalformedEnvelope):
                decode_message(msgpack.packb(data))

    def test_a_nested_or_long_value_is_refused_with_a_short_error(self) -> None:
        # A process decodes datagrams where another error would end it.
        nested = [b"\x91" * depth + b"\xc0" for depth in (1_010, 900, 60_000)]
        for value in (*nested, msgpack.packb("z" * 60_000), b"\xa1\xff" * 9_000):
            for data in (b"\x92\x0b" + value, value, value + b"\x00"):
                with self.assertRaises(MalformedEnvelope) as caught:
                    decode_message(data)
                self.assertLess(len(str(caught.exception)), 200)

    def test_a_message_that_cannot_be_encoded_leaves_nothing_for_the_next_one(
        self,
    ) -> None:
        data = encode_message(Ask(b"flow"))
        with self.assertRaises(OverflowError):
            encode_message(Ping("zone-a", 1 << 70, False))
        self.assertEqual(encode_message(Ask(b"flow")), data)
