"""Executes runs and streams as asyncio tasks, and reports their events."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from monsoonpier.agent.tokens.actions import (
    Abort,
    Broke,
    Credit,
    EndStream,
    RequestKey,
    Run,
    RunResult,
    StartStream,
    TimedOut,
)
from monsoonpier.agent.tokens.streams import STREAM_WINDOW
from monsoonpier.agent.tokens.target_client import (
    ABORTED_BY_CALLER,
    ABORTED_BY_DEADLINE,
    StreamItem,
    TargetClient,
)

__all__ = ["ItemRead", "RunEnded", "Runner", "StreamClosed"]

_log = structlog.get_logger("monsoonpier.agent.tokens.runner")


@dataclass(frozen=True, slots=True, kw_only=True)
class RunEnded:
    """A run at the target ended."""

    key: RequestKey
    result: RunResult


@dataclass(frozen=True, slots=True, kw_only=True)
class ItemRead:
    """An item of a stream was read from the target."""

    key: RequestKey
    item: StreamItem


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamClosed:
    """A stream at the target ended; ``broke`` is true if its connection broke."""

    key: RequestKey
    reason: str
    broke: bool


Event = RunEnded | ItemRead | StreamClosed


@dataclass(slots=True, kw_only=True)
class _ActiveRun:
    """A run's task; ``is_late`` is true if it was aborted at its deadline."""

    task: asyncio.Task
    is_late: bool = False


class Runner:
    """Runs a task for each request and stream at the target.

    Calls ``on_event`` for each item and each end.
    """

    def __init__(
        self, *, client: TargetClient, on_event: Callable[[Event], None]
    ) -> None:
        self._client = client
        self._on_event = on_event
        self._active_by_key: dict[RequestKey, _ActiveRun] = {}
        self._streams_by_key: dict[RequestKey, asyncio.Task] = {}
        self._credit_by_key: dict[RequestKey, asyncio.Semaphore] = {}

    def run(self, run: Run) -> None:
        """Start a run."""
        task = asyncio.create_task(self._run(run))
        self._active_by_key[run.key] = _ActiveRun(task=task)

    def abort(self, abort: Abort) -> None:
        """Cancel a run; its end is still reported."""
        active = self._active_by_key.get(abort.key)
        if active is not None:
            active.is_late = abort.late
            active.task.cancel()

    def start_stream(self, start: StartStream) -> None:
        """Start reading a stream."""
        self._credit_by_key[start.key] = asyncio.Semaphore(STREAM_WINDOW)
        self._streams_by_key[start.key] = asyncio.create_task(self._stream(start))

    def add_credit(self, credit: Credit) -> None:
        """Allow a stream's reader to read more items."""
        semaphore = self._credit_by_key.get(credit.key)
        if semaphore is not None:
            for _ in range(credit.items):
                semaphore.release()

    def end_stream(self, end: EndStream) -> None:
        """Stop reading a stream."""
        self._credit_by_key.pop(end.key, None)
        task = self._streams_by_key.pop(end.key, None)
        if task is not None:
            task.cancel()

    async def stop(self) -> None:
        """Cancel all runs and streams."""
        tasks = [active.task for active in self._active_by_key.values()]
        tasks += self._streams_by_key.values()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(self, run: Run) -> None:
        """Execute a run at the target and report its result."""
        result: RunResult
        try:
            request_id = f"{run.key.flow.hex()}-{run.key.request}"
            result = await self._client.run(run, request_id=request_id)
        except asyncio.CancelledError:
            active = self._active_by_key[run.key]
            result = ABORTED_BY_DEADLINE if active.is_late else ABORTED_BY_CALLER
        self._active_by_key.pop(run.key, None)
        if isinstance(result, TimedOut | Broke):
            _log.warning(
                "run ended without an answer",
                flow=run.key.flow.hex(),
                request=run.key.request,
                kind=run.kind,
                result=type(result).__name__,
            )
        self._on_event(RunEnded(key=run.key, result=result))

    async def _stream(self, start: StartStream) -> None:
        """Read a stream from the target and report its items and its end."""
        credit = self._credit_by_key[start.key]
        try:
            async for item in self._client.stream(start):
                # Without credit no more items are read, so that a slow caller
                # slows the target down instead of filling the agent's memory.
                await credit.acquire()
                self._on_event(ItemRead(key=start.key, item=item))
            closed = StreamClosed(key=start.key, reason="ended", broke=False)
        except OSError as error:
            _log.info(
                "stream broke",
                flow=start.key.flow.hex(),
                request=start.key.request,
                reason=str(error),
            )
            closed = StreamClosed(key=start.key, reason=str(error), broke=True)
        self._on_event(closed)
