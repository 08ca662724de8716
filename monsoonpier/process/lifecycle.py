"""The lifecycle of a process (``charts/process.toml``) and its signals."""

import asyncio
import os
import signal
from collections.abc import Awaitable, Callable, Iterable

import structlog

from monsoonpier.charts import load_chart
from monsoonpier.exits import ExitStatus

__all__ = ["ProcessLifecycle", "run_until_shutdown"]

_log = structlog.get_logger("monsoonpier.process.lifecycle")


class ProcessLifecycle:
    """Tracks the state of a process and lets tasks wait for its shutdown."""

    def __init__(self) -> None:
        self._chart = load_chart("process")
        self._state = self._chart.initial
        self._leaving = asyncio.Event()

    @property
    def state(self) -> str:
        """The current state."""
        return self._state

    @property
    def is_ready(self) -> bool:
        """Whether the process accepts new work."""
        return self._chart.has(self._state, "ready")

    def step(self, event: str) -> None:
        """Apply an event to the state chart."""
        before = self._state
        self._state = self._chart.step(before, event)
        if self._state != before:
            _log.info("state changed", before=before, after=self._state)
        if self._state in ("leaving", "stopped"):
            self._leaving.set()

    async def wait_for_shutdown(self) -> None:
        """Wait until the process should shut down."""
        await self._leaving.wait()

    def install_signals(self) -> None:
        """Shut down gracefully on the first SIGTERM or SIGINT; exit on the second."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._terminate)
        # Without a handler, SIGHUP would end the process. Changed settings take
        # effect at the next start.
        loop.add_signal_handler(signal.SIGHUP, _log_changed_settings)

    def _terminate(self) -> None:
        self.step("terminate")
        if self._state == "stopped":
            os._exit(ExitStatus.INTERRUPTED)


def _log_changed_settings() -> None:
    _log.info("settings changed", taken="at the next start")


async def run_until_shutdown(
    shut_down: Callable[[], Awaitable[None]],
    jobs: Iterable[Callable[[], Awaitable[None]]],
) -> None:
    """Run jobs until ``shut_down`` returns or a job ends; then cancel the rest.

    If the first of them to end raised an exception, it is raised again here.
    """
    tasks = [asyncio.create_task(job()) for job in jobs]
    leaving = asyncio.create_task(shut_down())
    done, _ = await asyncio.wait([leaving, *tasks], return_when=asyncio.FIRST_COMPLETED)
    for task in (leaving, *tasks):
        task.cancel()
    await asyncio.gather(leaving, *tasks, return_exceptions=True)
    for task in done:
        task.result()
