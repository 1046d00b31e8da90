"""Starts local deployments on loopback and runs them until interrupted."""

import json
import signal
import sys
from pathlib import Path
from typing import Any

import defopt

from tools.fleet import DEPLOYMENTS, Fleet

__all__ = ["main", "up"]


def interrupt(number: int, frame: Any) -> None:
    """Handle each stop signal like an interruption from the keyboard."""
    raise KeyboardInterrupt


def up(*, deployment: str = "", folder: Path = Path("run")) -> None:
    """Start one or all deployments and run them until interrupted.

    Prints `ready` once all processes are ready. Kills all processes at the end.

    Parameters
    ----------
    deployment : str
        Deployment to start, `little-threads` or `casa-popescu`; both if empty.
    folder : Path
        Directory for settings, logs and `addresses.json`.
    """
    if deployment and deployment not in DEPLOYMENTS:
        sys.exit(f"unknown deployment {deployment!r}; known: {', '.join(DEPLOYMENTS)}")
    names = [deployment] if deployment else list(DEPLOYMENTS)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, interrupt)
    fleets = [Fleet(DEPLOYMENTS[name], folder) for name in names]
    try:
        serve(fleets, folder)
    except KeyboardInterrupt:
        pass
    finally:
        # A second signal must not interrupt the cleanup.
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, signal.SIG_IGN)
        for fleet in fleets:
            fleet.stop_all()


def serve(fleets: list[Fleet], folder: Path) -> None:
    """Start the fleets, write their addresses, and wait for an interruption."""
    for fleet in fleets:
        fleet.start()
    for fleet in fleets:
        fleet.wait_ready()
    described = {fleet.deployment.name: fleet.describe() for fleet in fleets}
    (folder / "addresses.json").write_text(json.dumps(described, indent=1))
    print("ready", flush=True)
    while True:
        signal.pause()


def main() -> None:
    """Run the command line."""
    defopt.run(up)


if __name__ == "__main__":
    main()
