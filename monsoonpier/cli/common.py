"""The application, errors, settings and event loop of all commands."""

import asyncio
from pathlib import Path
from typing import Literal

from cyclopts import App

from monsoonpier import __version__
from monsoonpier.exits import ExitStatus

__all__ = ["CommandError", "LogLevel", "app", "load_or_fail", "run_coroutine"]

LogLevel = Literal["debug", "info", "warning", "error"]

app = App(
    name="monsoonpier",
    version=__version__,
    help="A layer-4 load balancer: its processes and its operators' commands.",
)


class CommandError(Exception):
    """An error to print for the user, with the exit status of the command."""

    def __init__(self, message: str, status: ExitStatus) -> None:
        super().__init__(message)
        self.status = status


def load_or_fail(file: Path, role: str):
    """Load the settings of a process with this role from a file.

    Raises:
        CommandError: If the file has errors; the message lists them all.
    """
    from monsoonpier.documents.settings import load_settings
    from monsoonpier.model.findings import report

    loaded = load_settings(file, role=role)
    if loaded.settings is None:
        raise CommandError(report(loaded.findings), ExitStatus.BAD_INPUT)
    return loaded


def run_coroutine(coroutine) -> int:
    """Run a command's coroutine and return its exit status."""
    import uvloop

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(coroutine)
