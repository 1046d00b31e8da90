"""The light data classes behave like those of `dataclasses`."""

import dataclasses
import unittest
from functools import partial

from hypothesis import given
from hypothesis import strategies as st

from fuchsiapin import lightclasses


def make_classes(module: object) -> tuple[type, type]:
    """Return a frozen and a mutable class defined with one of the modules."""

    @module.dataclass(frozen=True)
    class Point:
        x: int
        y: int = 7

        @property
        def total(self) -> int:
            return self.x + self.y

    @module.dataclass
    class Bag:
        name: str
        items: list = module.field(default_factory=list)

    return Point, Bag


OURS, OUR_BAG = make_classes(lightclasses)
THEIRS, THEIR_BAG = make_classes(dataclasses)


def outcome(call: object) -> object:
    """Return the result of a call, or the type of its exception."""
    try:
        return call()
    except (TypeError, AttributeError) as error:
        return TypeError if isinstance(error, TypeError) else AttributeError


class SameBehaviourTest(unittest.TestCase):
    """Each call has the outcome that `dataclasses` gives it."""

    @given(
        st.lists(st.integers(), max_size=4),
        st.dictionaries(st.sampled_from("xyz"), st.integers()),
    )
    def test_constructors_agree(self, values: list, named: dict) -> None:
        ours = outcome(lambda: lightclasses.astuple(OURS(*values, **named)))
        theirs = outcome(lambda: dataclasses.astuple(THEIRS(*values, **named)))
        self.assertEqual(ours, theirs)

    @given(st.dictionaries(st.sampled_from("xyz"), st.integers()))
    def test_replace_agrees(self, changes: dict) -> None:
        ours = outcome(
            lambda: lightclasses.astuple(lightclasses.replace(OURS(1), **changes))
        )
        theirs = outcome(
            lambda: dataclasses.astuple(dataclasses.replace(THEIRS(1), **changes))
        )
        self.assertEqual(ours, theirs)

    def test_equality_hash_and_repr_agree(self) -> None:
        for kind in (OURS, THEIRS):
            self.assertEqual(kind(1), kind(x=1, y=7))
            self.assertNotEqual(kind(1), kind(2))
            self.assertNotEqual(kind(1), (1, 7))
            self.assertEqual(hash(kind(1)), hash(kind(1, 7)))
        self.assertEqual(repr(OURS(1)), repr(THEIRS(1)))
        self.assertEqual(OURS(1).total, 8)

    def test_frozen_objects_reject_changes(self) -> None:
        for kind in (OURS, THEIRS):
            with self.assertRaises(AttributeError):
                kind(1).x = 2
            with self.assertRaises(AttributeError):
                del kind(1).x

    def test_mutable_objects_share_no_default(self) -> None:
        for kind in (OUR_BAG, THEIR_BAG):
            first, second = kind("a"), kind("a")
            first.items.append(1)
            self.assertEqual(second.items, [])
            with self.assertRaises(TypeError):
                hash(first)

    def test_the_first_object_is_made_like_later_ones(self) -> None:
        # The constructor is compiled with the first object, which may be the one whose
        # values are wrong.
        for values in ({}, {"x": 1}, {"x": 1, "z": 2}, {"x": 1, "y": 2}):
            ours, theirs = (make_classes(m)[0] for m in (lightclasses, dataclasses))
            expected = repr(outcome(partial(theirs, **values)))
            for _ in range(2):
                self.assertEqual(repr(outcome(partial(ours, **values))), expected)

    def test_fields_are_listed_in_order(self) -> None:
        names = [item.name for item in lightclasses.fields(OURS)]
        self.assertEqual(names, [item.name for item in dataclasses.fields(THEIRS)])
