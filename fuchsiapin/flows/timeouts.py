"""Timeouts of calls to the store, which may be slow for long."""

__all__ = ["MAX_TIMEOUT_MS", "answer_timeout"]

MAX_DOUBLINGS = 2
MAX_TIMEOUT_MS = 3_000
"""Longest timeout that follows from the time of the last answer."""


def answer_timeout(base_ms: int, failures: int, last_answer_ms: int = 0) -> int:
    """Return the timeout of the next call, in ms.

    A short timeout notices the end of an outage soon, but never reads the answers of a
    slow store. So from the second failure in a row on every other call waits longer,
    and once an answer has come, calls wait for twice its time.

    Parameters
    ----------
    base_ms : int
        Timeout for a store that answers in the usual time, in ms.
    failures : int
        Calls in a row that failed before.
    last_answer_ms : int
        Time that the last answer took, in ms, 0 if it isn't known.

    Examples
    --------
    >>> [answer_timeout(350, failures) for failures in range(7)]
    [350, 350, 700, 350, 1400, 350, 1400]
    >>> answer_timeout(350, 0, 400)
    800
    """
    doublings = 0 if failures % 2 else min(failures // 2, MAX_DOUBLINGS)
    return max(base_ms << doublings, min(2 * last_answer_ms, MAX_TIMEOUT_MS))
