"""Applies changes of a configuration by conditional update.

A change is one write of one object, so that it is never applied in part. If the
response to a write is lost, the object is read back, and the change id in it
shows whether the write succeeded. A retry requires the same version, so
that at most one of the writes succeeds. A change with `reapplies_on_conflict` is
written again under a newer version, but only if the history shows that the earlier
write was not accepted.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Literal, Protocol

from expression import Error, Ok, Result

from fuchsiapin.codec import decode_object, encode_object
from fuchsiapin.configuring import Difference, Proposal, accept, diff_configurations
from fuchsiapin.exceptions import MalformedObject, ObjectApiError
from fuchsiapin.messages import AcceptedChange, Configuration

__all__ = ["Applied", "Change", "Refusal", "Store", "Stored", "apply_change"]

MAX_ATTEMPTS = 8
"""Maximum number of failed reads and writes before a change is abandoned.

A write whose version condition is not met counts as failed.
"""
FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 2.0


class Stored(Protocol):
    """An object as stored in the object API."""

    version: int
    value: bytes


class Store(Protocol):
    """Required operations of the object API; both raise ObjectApiError."""

    async def read(self, key: str) -> Stored:
        """Return an object; its version is 0 if it doesn't exist."""

    async def write(self, key: str, version: int, value: bytes) -> bool:
        """Replace an object if `version` is its newest; return whether it was."""


@dataclass(frozen=True)
class Refusal:
    """Why a change was not applied, or that its outcome is unknown.

    Parameters
    ----------
    kind : str
        `race`: another change was accepted first. `unreachable`: nothing was
        written. `unknown`: the write may have taken effect. `malformed`: the
        stored object can't be decoded, or the wanted one couldn't. `missing`: the
        subject of the change doesn't exist.
    text : str
        Description for operators.
    changes : list of AcceptedChange
        The other changes in case of a race.
    differences : list of Difference
        What the other changes changed.
    """

    kind: Literal["race", "unreachable", "unknown", "malformed", "missing"]
    text: str
    changes: list[AcceptedChange] = field(default_factory=list)
    differences: list[Difference] = field(default_factory=list)


@dataclass(frozen=True)
class Applied:
    """A change that was accepted.

    Parameters
    ----------
    configuration : Configuration
        The newest configuration that was read or written.
    number : int
        Number of the configuration that the change produced, or of the current one
        if there was nothing to change.
    differences : list of Difference
        Differences that the change made; empty if there was nothing to change or
        if `was_resolved`.
    was_resolved : bool
        Whether the response was lost and the change was found by its change id.
    """

    configuration: Configuration
    number: int
    differences: list[Difference]
    was_resolved: bool = False


Outcome = Result[Applied, Refusal]
Propose = Callable[[Configuration | None], Result[Proposal, Refusal]]
"""Returns the proposal to apply on top of the current configuration, or a refusal."""


@dataclass(frozen=True)
class Change:
    """A change that an operator requests.

    Parameters
    ----------
    key : str
        Key of the configuration object.
    propose : callable
        Returns the proposal to apply on top of the current configuration, or a
        refusal.
    author, change_id : str
        Author of the change, and its unique id.
    expected : int or None
        Required number of the current configuration, None for any.
    reapplies_on_conflict : bool
        Whether the change is reapplied on top of another that was accepted first.
    """

    key: str
    propose: Propose
    author: str
    change_id: str
    expected: int | None = None
    reapplies_on_conflict: bool = False


async def apply_change(
    store: Store, change: Change, pause: Callable[[float], Awaitable[None]]
) -> Outcome:
    """Apply a change and return its outcome.

    Parameters
    ----------
    store : Store
        The object API.
    change : Change
        The change.
    pause : callable
        Sleeps for a number of seconds.
    """
    return await ChangeOperation(store, change, pause).run()


class ChangeOperation:
    """A change in progress; its parameters are those of `apply_change`."""

    def __init__(
        self, store: Store, change: Change, pause: Callable[[float], Awaitable[None]]
    ) -> None:
        self.store = store
        self.change = change
        self.pause = pause
        self.attempts = 0
        self.has_written = False

    async def run(self) -> Outcome:
        """Read, write and read back until the outcome is known."""
        read = await self.read()
        if read.is_error():
            return Error(read.error)
        version, base = read.ok
        expected = self.change.expected
        if self.find_applied(base) is None and expected not in (None, number_of(base)):
            return Error(race_refusal(expected, None, base))
        while True:
            outcome = self.find_applied(base) or await self.write(version, base)
            if outcome is not None:
                return outcome
            read = await self.read()
            if read.is_error():
                return Error(read.error)
            newer_version, newer = read.ok
            is_superseded = (
                newer_version != version and self.find_applied(newer) is None
            )
            # A truncated history can't show whether the earlier write was accepted.
            if is_superseded and self.has_written and not history_reaches(newer, base):
                return Error(self.abandoned_refusal("too many changes came after it"))
            if is_superseded and not self.change.reapplies_on_conflict:
                return Error(race_refusal(number_of(base), base, newer))
            version, base = newer_version, newer

    async def read(self) -> Result[tuple[int, Configuration | None], Refusal]:
        """Read version and configuration, with retries."""
        reason = ""
        while self.attempts < MAX_ATTEMPTS:
            try:
                stored = await self.store.read(self.change.key)
                return Ok((stored.version, decode_configuration(stored)))
            except ObjectApiError as error:
                reason = str(error)
            except MalformedObject as error:
                return Error(Refusal("malformed", f"{self.change.key}: {error}"))
            await self.wait()
        return Error(self.abandoned_refusal(reason))

    async def write(self, version: int, base: Configuration | None) -> Outcome | None:
        """Write the change once on top of the stored configuration.

        Returns
        -------
        Outcome or None
            None if the write failed and the object has to be read back.
        """
        proposal = self.change.propose(base)
        if proposal.is_error():
            return Error(proposal.error)
        wanted = accept(proposal.ok, base, self.change.author, self.change.change_id)
        if wanted is None:
            return Ok(Applied(base, base.number, []))
        if self.attempts >= MAX_ATTEMPTS:
            return Error(self.abandoned_refusal("no response to the write"))
        value = encode_object(wanted)
        try:
            decode_object(Configuration, value, self.change.key)
        except MalformedObject as error:
            text = f"nothing was changed, no process would accept it: {error}"
            return Error(Refusal("malformed", text))
        self.has_written = True
        try:
            is_written = await self.store.write(self.change.key, version, value)
        except ObjectApiError:
            is_written = False
        if is_written:
            differences = diff_configurations(base, wanted)
            return Ok(Applied(wanted, wanted.number, differences))
        await self.wait()
        return None

    async def wait(self) -> None:
        """Wait with exponential backoff."""
        await self.pause(min(FIRST_BACKOFF_S * 2**self.attempts, MAX_BACKOFF_S))
        self.attempts += 1

    def find_applied(self, config: Configuration | None) -> Outcome | None:
        """Return the outcome if the history of a configuration has this change."""
        for item in config.history if config else []:
            if item.change_id == self.change.change_id:
                return Ok(Applied(config, item.number, [], was_resolved=True))
        return None

    def abandoned_refusal(self, reason: str) -> Refusal:
        """Return the refusal of a change whose calls to the object API failed.

        It is `unreachable` if nothing was written, else `unknown`.
        """
        if not self.has_written:
            return Refusal("unreachable", f"nothing was changed: {reason}")
        text = (
            "the change may have been accepted or not; the same command with "
            f"--change-id {self.change.change_id} finds out and never applies it twice"
        )
        return Refusal("unknown", f"{text}: {reason}")


def decode_configuration(stored: Stored) -> Configuration | None:
    """Decode the configuration in a stored object, None if there is none."""
    if not stored.version:
        return None
    return decode_object(Configuration, stored.value)


def number_of(config: Configuration | None) -> int:
    """Return the number of a configuration, 0 for none."""
    return config.number if config else 0


def history_reaches(newer: Configuration | None, base: Configuration | None) -> bool:
    """Return whether the history of `newer` reaches back to the change after `base`."""
    numbers = [item.number for item in newer.history] if newer else []
    return number_of(base) + 1 in numbers


def race_refusal(
    expected: int, base: Configuration | None, newer: Configuration | None
) -> Refusal:
    """Return the refusal of a change that another change preceded.

    It lists no differences if the expected configuration is not available.
    """
    found = f"the configuration now has number {number_of(newer)}, not {expected}"
    if newer is None:
        return Refusal("race", f"nothing was changed: {found}")
    changes = [item for item in newer.history if item.number > expected]
    differences = diff_configurations(base, newer) if base or not expected else []
    return Refusal("race", f"nothing was changed: {found}", changes, differences)
