"""What all commands share: the program, its failures, settings and the loop."""

import asyncio
from pathlib import Path
from typing import Literal

from cyclopts import App

from monsoonpier import __version__
from monsoonpier.exits import Exit

__all__ = ["Failure", "Level", "app", "load", "run_loop"]

Level = Literal["debug", "info", "warning", "error"]

app = App(
    name="monsoonpier",
    version=__version__,
    help="A layer-4 load balancer: its processes and its operators' commands.",
)


class Failure(Exception):
    """Something a person can put right: a message and an exit status."""

    def __init__(self, message: str, status: Exit) -> None:
        super().__init__(message)
        self.status = status


def load(file: Path, role: str):
    """Return loaded settings; end with all findings if there are any."""
    from monsoonpier.documents.settings import load_settings
    from monsoonpier.model.findings import report

    loaded = load_settings(file, role=role)
    if loaded.settings is None:
        raise Failure(report(loaded.findings), Exit.BAD_INPUT)
    return loaded


def run_loop(coroutine) -> int:
    """Run a command to its end and return its exit status."""
    import uvloop

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(coroutine)
