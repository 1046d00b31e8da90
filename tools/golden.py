"""Renders sessions on simulated time as text, one line per event.

Only `python -m tools.golden` rewrites the golden files.
"""

from collections.abc import Callable
from pathlib import Path
from typing import Any

from aiocoap import Message
from aiocoap.numbers.codes import Code

from fuchsiapin.coap.datagrams import parse_datagram
from fuchsiapin.messages import View
from fuchsiapin.ranking import flow_key
from fuchsiapin.registry import Registry
from fuchsiapin.tests.standins.caller import REFUSALS, Caller
from measure.world import EPOCH_MS, World
from measure.worldparts import Links, Node, WorldOptions

__all__ = ["FOLDER", "Session", "render", "sessions"]

FOLDER = Path(__file__).parent.parent / "fuchsiapin" / "tests" / "golden"
SEED = 7
SEQUENCE_NUMBERS = 1 << 24
START_MS = 6_000
FLOWS = 2

sessions = Registry("session")


class SessionWorld(World):
    """A simulated world that reports the actions of its processes.

    Delays are constant, so that an additional message elsewhere changes no line.
    """

    def __init__(
        self, seed: int, options: WorldOptions, add_line: Callable[..., None]
    ) -> None:
        self.add_line = add_line
        self.reported_views: dict[str, int] = {}
        self.fully_adopted_views: dict[str, int] = {}
        super().__init__(seed, options, Links(jitter_ms=0.0))
        self.on_upstream_datagram = self.report_request

    def boot(self, node: Node) -> None:
        """Start a process."""
        self.add_line(node.name, f"started in {node.zone}")
        super().boot(node)

    def feed(self, node: Node, event: Any) -> None:
        """Pass an event to a process, and write lines on the changes it caused."""
        was_alive = node.is_alive
        super().feed(node, event)
        if was_alive and not node.is_alive:
            self.add_line(node.name, "finished its planned stop")
        self.report_view()

    def report_view(self) -> None:
        """Write a line when the first and when the last process has a new view."""
        for service in self.services():
            nodes = [node for node in self.nodes.values() if node.service == service]
            if not nodes:
                continue
            histories = [node.core.ownership.history for node in nodes]
            newest = max(histories, key=lambda history: history.number).newest
            if newest and newest.number > self.reported_views.get(service, 0):
                self.reported_views[service] = newest.number
                self.add_line(service, f"view {describe_view(newest.view)}")
            lowest = min(history.number for history in histories)
            if (
                lowest
                == self.reported_views.get(service, 0)
                > self.fully_adopted_views.get(service, 0)
            ):
                self.fully_adopted_views[service] = lowest
                self.add_line(service, f"view {lowest} is known to all side processes")

    def report_request(self, node: Node, payload: bytes) -> None:
        """Write a line when a POST request is passed to an upstream."""
        message = parse_datagram(payload)
        if message.code is Code.POST:
            self.add_line(
                node.name, f"gives {message.payload.decode()} to its upstream"
            )


class Session:
    """A simulated world, its callers, and the lines written so far.

    Parameters
    ----------
    options : WorldOptions
        Options of the world.
    """

    def __init__(self, options: WorldOptions) -> None:
        self.lines: list[str] = []
        self.world: SessionWorld | None = None
        self.world = SessionWorld(SEED, options, self.add_line)
        self.flows = [self.add_flow() for _ in range(FLOWS)]
        self.world.run(START_MS)

    def add_line(self, subject: str, text: str) -> None:
        """Append a line with the current time."""
        elapsed = (self.world.now - EPOCH_MS) / 1000 if self.world else 0.0
        self.lines.append(f"{elapsed:8.3f} s  {subject:<12} {text}")

    def add_flow(self) -> Caller:
        """Add a caller and write a line for each datagram that it receives."""
        caller = self.world.add_caller()
        name = f"flow-{len(self.world.callers)}"
        handle_datagram = caller.datagramReceived
        first_state: list[int] = []

        def receive(datagram: bytes, address: tuple[str, int]) -> None:
            message = Message.decode(datagram)
            if message.token == caller.board_token and message.code is Code.CONTENT:
                self.add_line(name, describe_board(message, first_state))
            elif message.token in caller.pending:
                request_name = caller.pending[message.token].name
                self.add_line(name, describe_answer(message, request_name))
            handle_datagram(datagram, address)

        caller.datagramReceived = receive
        caller.name = name
        return caller

    def post(self, caller: Caller, path: str, name: str) -> None:
        """Post a request."""
        self.add_line(caller.name, f"posts {name}")
        caller.post(path, name)

    def owner_of(self, caller: Caller) -> str:
        """Return the name of the owner of a caller's flow."""
        [(host, port)] = [
            address for address, other in self.world.callers.items() if other is caller
        ]
        service = self.world.options.service
        node = next(n for n in self.world.nodes.values() if n.service == service)
        owner, _ = node.core.ownership.pair(flow_key(service, host, port))
        return owner.id


def describe_view(view: View) -> str:
    """Return the text of a view: its number and members."""
    members = ", ".join(f"{member.id} {member.state}" for member in view.members)
    return f"{view.number}: {members or 'no member'}"


def describe_board(message: Message, first_state: list[int]) -> str:
    """Return the text of a notification; states count from the first one."""
    if not first_state:
        first_state.append(message.opt.observe)
        return "board is open, state 0"
    state = (message.opt.observe - first_state[0]) % SEQUENCE_NUMBERS
    return f"is notified, state {state}"


def describe_answer(message: Message, name: str) -> str:
    """Return the text of the answer to a request."""
    if message.code in REFUSALS or message.code is Code.GATEWAY_TIMEOUT:
        text = message.payload.decode()
        return f"is told of {name}: {text}; come back in {message.opt.max_age} s"
    return f"is told of {name}: {message.code} {message.payload.decode()}"


def render(name: str) -> str:
    """Run a session and return its text.

    Parameters
    ----------
    name : str
        Name of the session.

    Returns
    -------
    str
        The text of its golden file.
    """
    return "\n".join(sessions.get(name)().lines) + "\n"


@sessions.register("swap-day")
def run_swap_day() -> Session:
    """Run a session with every planned change and an outage of the object API."""
    session = Session(WorldOptions(sides=4, board_ms=2_000.0))
    world = session.world
    flows = session.flows
    for flow in flows:
        flow.open_board()
    world.run(3_000)
    session.post(flows[0], "claims", "claim-1")
    world.run(2_000)
    leaving = session.owner_of(flows[0])
    for number in range(2, 5):
        session.post(flows[0], "claims", f"claim-{number}")
    world.run(40)
    session.add_line(leaving, "is asked to stop")
    world.stop(leaving)
    world.run(8_000)
    world.add_balancer("balancer-4", world.nodes["balancer-2"].zone)
    world.run(2_000)
    session.add_line("balancer-2", "is asked to stop; balancer-4 has taken its place")
    world.stop("balancer-2")
    session.post(flows[1], "claims", "claim-5")
    world.run(6_000)
    session.add_line("object API", "outage begins")
    world.set_store(True)
    world.run(1_000)
    session.post(flows[0], "claims", "claim-6")
    world.run(5_000)
    session.add_line("object API", "outage ends")
    world.set_store(False)
    session.post(flows[1], "claims", "claim-7")
    world.run(4_000)
    return session


@sessions.register("ledger-crash")
def run_ledger_crash() -> Session:
    """Kill the owner of a flow while requests of the flow run or are queued."""
    options = WorldOptions(
        service="ledger", sides=3, slots=1, queue=2, service_ms=600.0, board_ms=4_000.0
    )
    session = Session(options)
    world = session.world
    flows = session.flows
    flows[0].open_board()
    world.run(2_000)
    session.post(flows[0], "receipts", "receipt-1")
    world.run(2_000)
    for number in range(2, 9):
        session.post(flows[0], "receipts", f"receipt-{number}")
    world.run(300)
    killed = session.owner_of(flows[0])
    session.add_line(killed, "is killed")
    world.kill(killed)
    session.post(flows[1], "receipts", "receipt-9")
    world.run(12_000)
    session.post(flows[0], "receipts", "receipt-10")
    world.run(6_000)
    return session


def main() -> None:
    """Write all golden files."""
    FOLDER.mkdir(exist_ok=True)
    for name in sessions.functions:
        (FOLDER / f"{name}.txt").write_text(render(name))


if __name__ == "__main__":
    main()
