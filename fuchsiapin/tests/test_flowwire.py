"""Messages between the processes of packet flows are checked when they are decoded."""

import unittest

import msgpack

from fuchsiapin.exceptions import MalformedEnvelope
from fuchsiapin.flows.messages import Ask, Ping
from fuchsiapin.flows.wire import LAYOUTS, decode_message, encode_message

VALUES = {str: "a", int: 1, bool: True, bytes: b"a"}


class CheckTest(unittest.TestCase):
    """A message with a wrong field is rejected, whichever field it is."""

    def test_each_field_is_checked(self) -> None:
        for number, layout in enumerate(LAYOUTS):
            right = [VALUES.get(kind) or [VALUES[item]] for _, kind, item in layout]
            decode_message(msgpack.packb([number, *right]))
            for index, (name, _, item) in enumerate(layout):
                wrong_values = [None, 1.5, {}] + (
                    [[*right[index], None]] if item else []
                )
                for wrong in wrong_values:
                    values = [*right[:index], wrong, *right[index + 1 :]]
                    with self.assertRaisesRegex(MalformedEnvelope, f"field '{name}'"):
                        decode_message(msgpack.packb([number, *values]))

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
