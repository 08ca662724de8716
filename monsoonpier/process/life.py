"""The life of a process on ``charts/process.toml``, and its signals."""

import asyncio
import os
import signal
from collections.abc import Awaitable, Callable, Iterable

import structlog

from monsoonpier.charts import load_chart
from monsoonpier.exits import Exit

__all__ = ["ProcessLife", "run_until_left"]

_log = structlog.get_logger("monsoonpier.process.life")


class ProcessLife:
    """Steps the process's chart and lets tasks wait for its leaving."""

    def __init__(self) -> None:
        self._chart = load_chart("process")
        self._state = self._chart.initial
        self._leaving = asyncio.Event()

    @property
    def state(self) -> str:
        """The chart's present state."""
        return self._state

    @property
    def is_ready(self) -> bool:
        """Whether new work should be sent here."""
        return self._chart.has(self._state, "ready")

    def step(self, event: str) -> None:
        """Apply an event of the chart."""
        before = self._state
        self._state = self._chart.step(before, event)
        if self._state != before:
            _log.info("state changed", before=before, after=self._state)
        if self._state in ("leaving", "stopped"):
            self._leaving.set()

    async def wait_for_leaving(self) -> None:
        """Return when the process has been asked to leave."""
        await self._leaving.wait()

    def install_signals(self) -> None:
        """Leave gracefully on the first SIGTERM or SIGINT; end on the second."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._signalled)
        # Without a handler it would end the process. What a running process needs
        # of its settings doesn't change; the rest is read at the next start.
        loop.add_signal_handler(signal.SIGHUP, _note_changed_settings)

    def _signalled(self) -> None:
        self.step("terminate")
        if self._state == "stopped":
            os._exit(Exit.INTERRUPTED)


def _note_changed_settings() -> None:
    _log.info("settings changed", taken="at the next start")


async def run_until_left(
    leave: Callable[[], Awaitable[None]], jobs: Iterable[Callable[[], Awaitable[None]]]
) -> None:
    """Run jobs until ``leave`` has returned; a job that fails ends all of them."""
    tasks = [asyncio.create_task(job()) for job in jobs]
    leaving = asyncio.create_task(leave())
    done, _ = await asyncio.wait([leaving, *tasks], return_when=asyncio.FIRST_COMPLETED)
    for task in (leaving, *tasks):
        task.cancel()
    await asyncio.gather(leaving, *tasks, return_exceptions=True)
    for task in done:
        task.result()
