"""Building blocks of the operator's commands: options, reads and changes."""

import getpass
import os
from collections.abc import Awaitable, Callable
from typing import Any
from uuid import uuid4

from expression import Error, Ok, Result
from twisted.internet.task import deferLater

from fuchsiapin.applying import Change, Propose, Refusal, apply_change
from fuchsiapin.codec import decode_object
from fuchsiapin.configuring import Proposal, set_leaving
from fuchsiapin.daemons.commandresults import CommandResult, change_result
from fuchsiapin.daemons.objectapi import ObjectApiClient
from fuchsiapin.exceptions import MalformedObject, ObjectApiError, SettingsError
from fuchsiapin.faults import nearest_hint
from fuchsiapin.messages import Configuration

__all__ = [
    "Command",
    "Operation",
    "api_url",
    "deployment_name",
    "leaving_operation",
    "make_change",
    "parse_store_address",
    "propose_leaving",
    "read_configuration",
]

OBJECT_API_VARIABLE = "FUCHSIAPIN_OBJECT_API"
DEPLOYMENT_VARIABLE = "FUCHSIAPIN_DEPLOYMENT"

Operation = Callable[[Any], Awaitable[CommandResult]]
"""Runs a command with the reactor; returns its result."""


class Command:
    """A parsed command.

    Parameters
    ----------
    operation : callable
        Runs the command with the reactor; returns its result.
    json : bool
        Whether to print JSON.
    """

    def __init__(self, operation: Operation, json: bool) -> None:
        self.operation = operation
        self.json = json


def resolve_option(value: str, variable: str, option: str) -> str:
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
    url = resolve_option(value, OBJECT_API_VARIABLE, "--object-api")
    if not url.startswith("http://"):
        raise SettingsError(f"--object-api: expected a URL with http://, found {url!r}")
    return url


def deployment_name(value: str) -> str:
    """Return the name of the deployment."""
    return resolve_option(value, DEPLOYMENT_VARIABLE, "--deployment")


def parse_store_address(text: str) -> tuple[str, int]:
    """Return the host and port of a store.

    Raises
    ------
    SettingsError
        If the text is not of the form host:port.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise SettingsError(f"store {text!r} is not of the form host:port")
    return host, int(port)


def leaving_operation(
    upstream: str,
    leaving: bool,
    deployment: str,
    object_api: str,
    author: str,
    change_id: str,
) -> Operation:
    """Return the operation that marks one upstream as leaving, or clears the mark."""
    name = deployment_name(deployment)
    url = api_url(object_api)
    change = Change(
        f"config/{name}",
        propose_leaving(name, upstream, leaving),
        author or getpass.getuser(),
        change_id or uuid4().hex,
        reapplies_on_conflict=True,
    )
    return lambda reactor: make_change(reactor, url, change)


def propose_leaving(deployment: str, upstream: str, leaving: bool) -> Propose:
    """Return a function that proposes a change of the current configuration.

    The change marks one upstream as leaving, or clears the mark.
    """

    def propose(current: Configuration | None) -> Result[Proposal, Refusal]:
        if current is None:
            text = f"no configuration of {deployment} has been accepted yet"
            return Error(Refusal("missing", text))
        proposal = set_leaving(current, upstream, leaving)
        if proposal is None:
            names = [u.id for item in current.services for u in item.upstreams]
            hint = nearest_hint(upstream, names)
            text = f"no upstream {upstream!r} in configuration {current.number}"
            return Error(Refusal("missing", f"{text}; nearest: {hint}"))
        service_name = fully_leaving_service(proposal)
        if service_name and leaving:
            text = (
                f"nothing was changed: every upstream of {service_name} "
                "is leaving or would leave"
            )
            return Error(Refusal("missing", text))
        return Ok(proposal)

    return propose


def fully_leaving_service(proposal: Proposal) -> str:
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


async def make_change(reactor: Any, url: str, change: Change) -> CommandResult:
    """Make a change and return its result."""
    client = ObjectApiClient(reactor, url)
    outcome = await apply_change(
        client, change, lambda seconds: deferLater(reactor, seconds)
    )
    return change_result(outcome, change.change_id)
