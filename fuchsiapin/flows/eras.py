"""Eras of the store's contents.

A store that comes back from an older copy has lost what it had acknowledged since, and
gives out the same revisions again for other contents. It tells so by a higher era.
"""

from fuchsiapin.flows.storage import StoreResult

__all__ = ["MAX_ERA_STEP", "StoreEra"]

MAX_ERA_STEP = 1 << 17
"""Largest step to an era that another process tells. Stores may count eras, or use the
time in seconds; a step refused wrongly would hide an evacuation."""
REFUTED_MS = 1_000
"""Time after which the answer to a later call refutes an era that another process told;
longer than a call to the store may take."""


class StoreEra:
    """The newest era of the store that this process knows of.

    Attributes
    ----------
    current : int
        Newest era, 0 if the store hasn't told any.
    confirmed : int
        Newest era that the store itself told this process.
    told_at : int
        When another process told the newest era, in ms.
    doubted : int
        Newest era that another process told and that the store didn't confirm.
    is_readable : bool
        Whether the latest answer told its era, where one is expected.

    Examples
    --------
    >>> era = StoreEra()
    >>> era.note(3), era.note(4), era.note(3)
    (False, True, False)
    >>> era.is_stale(3), era.is_stale(4), era.is_stale(0)
    (True, False, False)
    """

    def __init__(self) -> None:
        self.current = 0
        self.confirmed = 0
        self.told_at = 0
        self.doubted = 0
        self.is_readable = True

    def note(self, era: int) -> bool:
        """Record an era of the store; return whether it ends another known one."""
        self.confirmed = max(self.confirmed, era)
        return self.raise_to(era)

    def note_told(self, now: int, era: int) -> bool:
        """Record an era that another process told, as `note` does."""
        if era <= max(self.current, self.doubted):
            return False
        self.told_at = now
        return self.raise_to(era)

    def raise_to(self, era: int) -> bool:
        """Set a newer era; return whether it ends another one that was known."""
        if era <= self.current:
            return False
        is_change = self.current > 0
        self.current = era
        return is_change

    def retract(
        self, now: int, era: int, unconfirmed_ms: int, is_later: bool = False
    ) -> bool:
        """Return to the store's own era if another process told a wrong one.

        The store refutes it by the answer to a call that was made later, or by not
        confirming it for long.

        Parameters
        ----------
        now : int
            Time in ms.
        era : int
            Era in an answer of the store.
        unconfirmed_ms : int
            Time within which the store confirms an era.
        is_later : bool
            Whether the call was made after the newest era was told.

        Returns
        -------
        bool
            Whether the newest era, told by another process, was dropped.
        """
        is_unconfirmed = self.confirmed < self.current
        if not (is_unconfirmed and self.is_stale(era)):
            return False
        if now - self.told_at <= (REFUTED_MS if is_later else unconfirmed_ms):
            return False
        self.doubted = self.current
        self.current = era
        return True

    def is_stale(self, era: int) -> bool:
        """Return whether an answer belongs to an era that has ended."""
        return 0 < era < self.current

    def screen(self, answer: StoreResult) -> StoreResult:
        """Return what an answer is worth: one of an era that has ended counts as none.

        What it acknowledges or shows may be lost.
        """
        if not self.is_stale(answer.era):
            return answer
        detail = f"answer of era {answer.era}, the newest is {self.current}"
        return StoreResult("unreachable", detail=detail)

    def note_answer(self, answer: StoreResult) -> str:
        """Return why an answer tells no era, empty if it does or need not.

        Repeated answers without an era are told once. A store that never told one need
        not.
        """
        if answer.outcome == "unreachable":
            return ""
        problem = answer.era_error
        if not answer.era and not problem and self.current:
            problem = "the answer names no era"
        was_readable, self.is_readable = self.is_readable, not problem
        return problem if was_readable else ""
