"""Starts the whole set on loopback and leaves it running until interrupted."""

import json
import signal
import sys
from pathlib import Path
from typing import Any

import defopt

from tools.fleet import DEPLOYMENTS, Fleet

__all__ = ["main", "up"]


def interrupt(number: int, frame: Any) -> None:
    """End the wait, however it was asked for."""
    raise KeyboardInterrupt


def up(*, deployment: str = "", folder: Path = Path("run")) -> None:
    """Start the set and leave it running until interrupted.

    Prints `ready` once every process serves. Nothing is left running after it.

    Parameters
    ----------
    deployment : str
        One deployment, `little-threads` or `casa-popescu`; both when empty.
    folder : Path
        Where settings, logs and `addresses.json` go.
    """
    if deployment and deployment not in DEPLOYMENTS:
        sys.exit(f"no deployment {deployment!r}; there are {', '.join(DEPLOYMENTS)}")
    names = [deployment] if deployment else list(DEPLOYMENTS)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, interrupt)
    fleets = [Fleet(DEPLOYMENTS[name], folder) for name in names]
    try:
        serve(fleets, folder)
    except KeyboardInterrupt:
        pass
    finally:
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, signal.SIG_IGN)
        for fleet in fleets:
            fleet.stop_all()


def serve(fleets: list[Fleet], folder: Path) -> None:
    """Start the fleets, say so, and wait for an interruption."""
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
    """Enter from the command line."""
    defopt.run(up)


if __name__ == "__main__":
    main()
