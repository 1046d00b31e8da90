"""Retries of requests that were shed or whose peer or upstream is lost or down.

A request that the upstream shed was not run, so it may be retried even if it is not
idempotent. One that may have run is retried only if it is idempotent. A retry budget
per class bounds the additional load, even when all requests fail.

References
----------
.. [1] B. Beyer et al., "Site Reliability Engineering", O'Reilly 2016, chapter 22
   (retry budgets).
"""

from aiocoap import Message
from aiocoap.numbers.codes import Code

from fuchsiapin.coap import datagrams as coap
from fuchsiapin.coap.requests import Request, Stage
from fuchsiapin.coap.sideparts import SideParts
from fuchsiapin.policy import retry_policies

__all__ = ["BudgetRetrier", "NoRetrier", "RetryBudget"]

RETRIES_PER_REQUEST = 0.1
"""Retries earned by each request that got its final answer."""
MAX_CREDITS = 10.0
"""Bound on the retries that a class may accumulate."""
MAX_CLASSES = 256
"""Bound on the classes that `earn` adds; `spend` adds any."""


class RetryBudget:
    """Retry budget of each class.

    Examples
    --------
    >>> budget = RetryBudget()
    >>> all(budget.spend("shops") for _ in range(10)), budget.spend("shops")
    (True, False)
    """

    def __init__(self) -> None:
        self.credits: dict[str, float] = {}

    def earn(self, tenant: str) -> None:
        """Add to the budget of a class whose request got its final answer."""
        credits = self.credits.get(tenant, MAX_CREDITS)
        if tenant in self.credits or len(self.credits) < MAX_CLASSES:
            self.credits[tenant] = min(MAX_CREDITS, credits + RETRIES_PER_REQUEST)

    def spend(self, tenant: str) -> bool:
        """Use one retry of a class; return whether one was left."""
        credits = self.credits.get(tenant, MAX_CREDITS)
        if credits < 1:
            return False
        self.credits[tenant] = credits - 1
        return True


@retry_policies.register("none")
class NoRetrier:
    """Retries no requests.

    Parameters
    ----------
    core : SideParts
        The core that this is a part of.
    """

    def __init__(self, core: SideParts) -> None:
        self.core = core

    def on_finished(self, request: Request) -> None:
        """Handle a request that got its final answer."""

    def on_answer(self, request: Request, answer: Message) -> bool:
        """Handle the upstream's answer; return whether it is not passed on."""
        return False

    def on_view_change(self) -> None:
        """Handle a new view, in which peers may be missing."""

    def on_upstream_silent(self) -> None:
        """Handle requests at the upstream when it is down."""


@retry_policies.register("budget")
class BudgetRetrier(NoRetrier):
    """Retries requests within a budget for each class [1]_.

    Parameters
    ----------
    core : SideParts
        The core that this is a part of.
    """

    def __init__(self, core: SideParts) -> None:
        super().__init__(core)
        self.budget = RetryBudget()

    def on_finished(self, request: Request) -> None:
        """Add to the retry budget of the request's class."""
        self.budget.earn(request.tenant)

    def on_answer(self, request: Request, answer: Message) -> bool:
        """Requeue a request that was shed, or return it to its owner.

        Sending to the upstream is paused in both cases. Returns whether the answer was
        handled here, so that it is not passed on.
        """
        if answer.code is not Code.SERVICE_UNAVAILABLE:
            self.core.admission.on_served()
            return False
        pause_ms = self.core.admission.on_shed(self.core.now)
        self.core.timers.add(self.core.now + pause_ms, self.resume)
        if request.origin:
            self.core.mover.return_result(request, "not_run", b"")
            return True
        return self.retry_request(request, "shed")

    def resume(self, now: int) -> None:
        """Send requests to the upstream again after a pause."""
        self.core.admission.resume(now)
        self.core.dispatcher.dispatch_waiting()

    def retry_request(self, request: Request, reason: str) -> bool:
        """Requeue a request that may run elsewhere; return whether it is retried.

        Observations and block-wise requests are not retried: they stay at the
        upstream where they began.
        """
        message = request.message
        is_pinned = message.opt.observe is not None or coap.is_blockwise(message)
        if is_pinned or not self.budget.spend(request.tenant):
            return False
        self.core.report(3108, reason=reason, tenant=request.tenant)
        request.stage = Stage.WAITING
        request.move_attempts = 0
        request.offers.clear()
        self.core.admission.insert(request)
        self.core.mover.consider_move(request)
        return True

    def on_view_change(self) -> None:
        """Handle requests whose peer is no longer in the view."""
        for request in list(self.core.requests.values()):
            if request.stage is not Stage.HANDED:
                continue
            if self.core.membership.peer(request.handed_to) is None:
                self.on_outcome_lost(request, "peer lost")

    def on_upstream_silent(self) -> None:
        """Retry idempotent requests that were sent to the upstream, which is down."""
        for request in list(self.core.requests.values()):
            is_here = request.stage is Stage.RUNNING
            if is_here and not request.origin and coap.is_idempotent(request.message):
                self.core.link.discard_exchange(request.token)
                self.core.admission.release(request.key)
                self.on_outcome_lost(request, "upstream silent")

    def on_outcome_lost(self, request: Request, reason: str) -> None:
        """Retry a request that may have run, or answer that this is unknown."""
        request.may_have_run = True
        if coap.is_idempotent(request.message) and self.retry_request(request, reason):
            return
        self.core.dispatcher.give_up(request)
