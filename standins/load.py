"""Callers that load a deployment, and checks of what they and targets recorded."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from monsoonpier.caller import (
    Caller,
    Done,
    NotRun,
    Outcome,
    Refused,
    RetryBudget,
)

__all__ = ["LoadResult", "Load", "evaluate"]

FINISH_SECONDS = 30.0  # longer than any deadline set here


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestRecord:
    """A request and its outcome; targets record runs under the same ``tag``."""

    tag: str
    service: str
    idempotent: bool
    outcome: Outcome
    seconds: float


@dataclass(slots=True, kw_only=True)
class StreamRecord:
    """What a caller received on a stream; ``longest_silence`` is in seconds."""

    items: int = 0
    faults: list[str] = field(default_factory=list)
    longest_silence: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadResult:
    """Counts from the records of callers and targets.

    Attributes:
        lost_answers: Requests without a valid response or definite rejection.
        ran_twice: Requests that aren't idempotent and ran more than once.
        wrong_service: Runs at a target of another service.
        false_not_run: Requests reported as not run that did run.
        longest_silence: Longest time between a stream's items, in seconds.
    """

    requests: int
    streams: int
    uploads: int
    broken_flows: int
    lost_answers: int
    ran_twice: int
    wrong_service: int
    false_not_run: int
    not_run: int
    longest_silence: float

    @property
    def is_clean(self) -> bool:
        """Whether no guarantee was violated."""
        return not (
            self.broken_flows
            or self.lost_answers
            or self.ran_twice
            or self.wrong_service
            or self.false_not_run
        )


class Load:
    """Runs callers until stopped, and records their outcomes."""

    def __init__(self, *, maps: str, logs: str, seed: int = 0) -> None:
        self._maps = maps
        self._logs = logs
        self._draw = random.Random(seed)
        self._stop = asyncio.Event()
        self._tasks: list[asyncio.Task] = []
        self._number = 0
        self.requests: list[RequestRecord] = []
        self.streams: list[StreamRecord] = []
        self.counts: Counter[str] = Counter()
        self.errors: list[str] = []

    def start(
        self, *, streams: int, readers: int, uploaders: int, pause: float = 0.1
    ) -> None:
        """Start that many callers of each kind; ``pause`` is in seconds."""
        jobs = [self._read_stream() for _ in range(streams)]
        jobs += [self._send_readings(pause) for _ in range(readers)]
        jobs += [self._upload(pause) for _ in range(uploaders)]
        self._tasks += [asyncio.create_task(job) for job in jobs]

    def count_failures(self) -> Counter[str]:
        """Count outcomes other than `Done`, and faults of streams, by their text."""
        counts = Counter(
            str(request.outcome)
            for request in self.requests
            if not isinstance(request.outcome, Done)
        )
        for stream in self.streams:
            counts.update(f"stream: {fault}" for fault in stream.faults[:3])
        return counts

    async def stop(self) -> None:
        """Stop callers after their current requests, and wait for them."""
        self._stop.set()
        if not self._tasks:
            return
        done, stuck = await asyncio.wait(self._tasks, timeout=FINISH_SECONDS)
        for task in stuck:
            frames = task.get_stack()
            self.errors.append(f"a caller did not finish: {frames[-1:]}")
            task.cancel()
        for result in await asyncio.gather(*self._tasks, return_exceptions=True):
            if isinstance(result, Exception):
                self.errors.append(repr(result))
        self._tasks.clear()

    async def send_request(
        self, caller: Caller, service: str, kind: str, *, size: int = 0, **options
    ) -> Outcome:
        """Send a request with a unique tag and record its outcome."""
        self._number += 1
        response_size = self._draw.choice((0, 0, 0, 40_000))
        tag = f"{service} {self._number} answer={response_size}"
        body = tag.encode() + b"\n" + b"u" * size
        started_at = asyncio.get_running_loop().time()
        outcome = await caller.request(kind, body, **options)
        if isinstance(outcome, Done) and not _is_valid_response(
            outcome.body, service, tag
        ):
            outcome = NotRun(reason="wrong answer", retry_after=-1)
            self.errors.append(f"wrong response to {tag}")
        self.requests.append(
            RequestRecord(
                tag=tag,
                service=service,
                idempotent=options.get("idempotent", False),
                outcome=outcome,
                seconds=asyncio.get_running_loop().time() - started_at,
            )
        )
        return outcome

    async def _send_readings(self, pause: float) -> None:
        """Send readings and top-ups; open a new flow after several requests."""
        while not self._stop.is_set():
            async with Caller(self._maps, budget=RetryBudget()) as caller:
                for _ in range(self._draw.randint(3, 12)):
                    idempotent = self._draw.random() < 0.7
                    kind = "reading" if idempotent else "top-up"
                    await self.send_request(
                        caller, "maps", kind, idempotent=idempotent, deadline=5.0
                    )
                    if self._stop.is_set():
                        break
                    await asyncio.sleep(pause * self._draw.uniform(0.5, 1.5))
                self.counts += caller.counts

    async def _upload(self, pause: float) -> None:
        while not self._stop.is_set():
            async with Caller(self._logs) as caller:
                size = self._draw.choice((20_000, 300_000, 1_500_000))
                await self.send_request(caller, "logs", "log", size=size, deadline=20.0)
                self.counts += caller.counts
            await asyncio.sleep(pause)

    async def _read_stream(self) -> None:
        record = StreamRecord()
        self.streams.append(record)
        loop = asyncio.get_running_loop()
        async with Caller(self._maps) as caller:
            last = 0
            received_at = loop.time()
            stream = caller.stream("map")
            stopping = asyncio.create_task(self._stop.wait())
            while not self._stop.is_set():
                next_item = asyncio.ensure_future(anext(stream))
                await asyncio.wait(
                    [next_item, stopping], return_when=asyncio.FIRST_COMPLETED
                )
                if not next_item.done():
                    next_item.cancel()
                    await asyncio.gather(next_item, return_exceptions=True)
                    break
                try:
                    item = next_item.result()
                except StopAsyncIteration:
                    record.faults.append("ended")
                    break
                now = loop.time()
                record.longest_silence = max(record.longest_silence, now - received_at)
                received_at = now
                if item.number != last + 1:
                    record.faults.append(f"item {item.number} after {last}")
                if item.body != f"maps item {item.number}".encode():
                    record.faults.append("wrong item")
                last = item.number
                record.items += 1
            stopping.cancel()
            if not record.items:
                record.faults.append("no items")
            silence = loop.time() - received_at
            record.longest_silence = max(record.longest_silence, silence)
            self.counts += caller.counts


def evaluate(load: Load, runs: list[dict]) -> LoadResult:
    """Compare the outcomes that callers saw with the runs of targets."""
    times_by_tag = Counter(run["tag"] for run in runs)
    not_idempotent = {r.tag for r in load.requests if not r.idempotent}
    lost = false_not_run = not_run = 0
    for request in load.requests:
        match request.outcome:
            case Done():
                pass
            case NotRun(retry_after=-1):
                lost += 1
            case NotRun() | Refused():
                not_run += 1
                # An idempotent request may have run in an earlier attempt; its
                # outcome is that of the last attempt.
                if times_by_tag[request.tag] and not request.idempotent:
                    false_not_run += 1
            case _:
                lost += 1
    broken = sum(1 for stream in load.streams if stream.faults)
    return LoadResult(
        requests=len(load.requests),
        streams=len(load.streams),
        uploads=sum(1 for request in load.requests if request.service == "logs"),
        broken_flows=broken + load.counts["flows_lost"] + load.counts["flows_gone"],
        lost_answers=lost,
        ran_twice=sum(1 for tag in not_idempotent if times_by_tag[tag] > 1),
        wrong_service=sum(
            1 for run in runs if run["tag"].split(" ")[0] != run["service"]
        ),
        false_not_run=false_not_run,
        not_run=not_run,
        longest_silence=max(
            (stream.longest_silence for stream in load.streams), default=0.0
        ),
    )


def _is_valid_response(body: bytes, service: str, tag: str) -> bool:
    """Return whether ``body`` is the target's complete response to the tag."""
    head = f"{service}\n{tag}\n".encode()
    size = int(tag.rsplit("=", 1)[1])
    return body == head + b"x" * max(0, size - len(head))
