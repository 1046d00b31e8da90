"""The operations behind the operator's commands."""

import getpass
import os
from collections.abc import Awaitable, Callable
from typing import Any
from uuid import uuid4

from expression import Error, Ok, Result
from twisted.internet.task import deferLater

from fuchsiapin.applying import Change, Propose, Refusal, apply_change
from fuchsiapin.codec import decode_object
from fuchsiapin.configuring import Proposal, mark_upstream
from fuchsiapin.daemons.answers import Answer, answer_outcome
from fuchsiapin.daemons.objectapi import ObjectApiClient
from fuchsiapin.exceptions import MalformedObject, ObjectApiError, SettingsError
from fuchsiapin.faults import nearest_hint
from fuchsiapin.messages import Configuration

__all__ = [
    "Work",
    "api_url",
    "deployment_name",
    "make_change",
    "mark",
    "propose_mark",
    "read_configuration",
]

OBJECT_API = "FUCHSIAPIN_OBJECT_API"
DEPLOYMENT = "FUCHSIAPIN_DEPLOYMENT"

Work = Callable[[Any], Awaitable[Answer]]
"""Runs a command with the reactor; returns its result."""


def setting(value: str, variable: str, option: str) -> str:
    """Return the value of an option or, without one, of its environment variable.

    Raises
    ------
    SettingsError
        If neither is given.
    """
    found = value or os.environ.get(variable, "")
    if not found:
        raise SettingsError(f"{option} is missing; give it or set {variable}")
    return found


def api_url(value: str) -> str:
    """Return the URL of the object API."""
    url = setting(value, OBJECT_API, "--object-api")
    if not url.startswith("http://"):
        raise SettingsError(f"--object-api: expected a URL with http://, found {url!r}")
    return url


def deployment_name(value: str) -> str:
    """Return the name of the deployment."""
    return setting(value, DEPLOYMENT, "--deployment")


def mark(
    upstream: str,
    leaving: bool,
    deployment: str,
    object_api: str,
    author: str,
    change_id: str,
) -> Work:
    """Return the work that marks one upstream as leaving, or clears the mark."""
    name = deployment_name(deployment)
    url = api_url(object_api)
    change = Change(
        f"config/{name}",
        propose_mark(name, upstream, leaving),
        author or getpass.getuser(),
        change_id or uuid4().hex,
        is_rebased=True,
    )
    return lambda reactor: make_change(reactor, url, change)


def propose_mark(deployment: str, upstream: str, leaving: bool) -> Propose:
    """Return a function that marks one upstream in the current configuration."""

    def propose(current: Configuration | None) -> Result[Proposal, Refusal]:
        if current is None:
            text = f"no configuration of {deployment} has been accepted yet"
            return Error(Refusal("missing", text))
        proposal = mark_upstream(current, upstream, leaving)
        if proposal is None:
            names = [u.id for item in current.services for u in item.upstreams]
            hint = nearest_hint(upstream, names)
            text = f"no upstream {upstream!r} in configuration {current.number}"
            return Error(Refusal("missing", f"{text}; nearest: {hint}"))
        emptied = emptied_service(proposal)
        if emptied and leaving:
            text = f"nothing was changed: {emptied} would have no upstream that stays"
            return Error(Refusal("missing", text))
        return Ok(proposal)

    return propose


def emptied_service(proposal: Proposal) -> str:
    """Return the first service whose upstreams are all leaving, empty for none."""
    for service in proposal.services:
        if all(upstream.leaving for upstream in service.upstreams):
            return service.name
    return ""


async def read_configuration(
    reactor: Any, url: str, deployment: str
) -> Result[Configuration | None, Refusal]:
    """Return the stored configuration of a deployment."""
    key = f"config/{deployment}"
    try:
        stored = await ObjectApiClient(reactor, url).read(key)
        if not stored.version:
            return Ok(None)
        return Ok(decode_object(Configuration, stored.value))
    except ObjectApiError as error:
        return Error(Refusal("unreachable", str(error)))
    except MalformedObject as error:
        return Error(Refusal("malformed", f"{key}: {error}"))


async def make_change(reactor: Any, url: str, change: Change) -> Answer:
    """Make a change and return its result."""
    store = ObjectApiClient(reactor, url)
    outcome = await apply_change(
        store, change, lambda seconds: deferLater(reactor, seconds)
    )
    return answer_outcome(outcome, change.change_id)
