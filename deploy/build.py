"""Installs the packages that the processes need into `target/deps`; compiles modules.

The folder counts as complete only by its stamp, which is written last and names the
requirements, Python and the machine. Otherwise it is made anew.
"""

import hashlib
import os
import shutil
import subprocess
import sys
import sysconfig
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
REQUIREMENTS = ROOT / "requirements-platform.txt"
FOLDER = ROOT / "target" / "deps"
STAMP = FOLDER / ".built-for"
SOURCES = ("fuchsiapin", "platform")


def wanted_stamp() -> str:
    """Return the stamp of a complete folder for this machine."""
    requirements = hashlib.sha256(REQUIREMENTS.read_bytes()).hexdigest()
    extensions = sysconfig.get_config_var("EXT_SUFFIX")
    lines = requirements, sys.version, extensions, os.uname().machine
    return "\n".join(map(str, lines)) + "\n"


def is_complete() -> bool:
    """Return whether the folder was installed completely for this machine."""
    try:
        return STAMP.read_text(errors="replace") == wanted_stamp()
    except OSError:
        return False


def run_module(*words: str) -> None:
    """Run a module of Python; exit with its status if it fails."""
    done = subprocess.run([sys.executable, "-m", *words], cwd=ROOT)
    if done.returncode:
        sys.exit(f"python3 -m {' '.join(words)} ended with {done.returncode}")


def install() -> None:
    """Install the packages into an empty folder, and write the stamp."""
    if FOLDER.exists():
        shutil.rmtree(FOLDER)
    run_module(
        *("pip", "install", "-q", "--target", str(FOLDER), "-r", str(REQUIREMENTS))
    )
    unfinished = STAMP.with_suffix(".new")
    unfinished.write_text(wanted_stamp())
    unfinished.replace(STAMP)


if __name__ == "__main__":
    if not is_complete():
        install()
    run_module("compileall", "-q", *SOURCES)
