"""Callers of all three habits, and the judgement of what they and targets saw."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from standins.packets.caller import CallerFlow, FlowEnded
from standins.packets.deployment import SERVICES, PacketDeployment

__all__ = ["PacketLoad", "Verdict"]

REQUEST_SECONDS = 3.0
UPLOAD_BYTES = 20_000
READING_BYTES = 2_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """What happened; all but the first two must be 0.

    ``false_resets`` counts open flows that were reset though their target's run
    still holds them; ``ran_twice`` requests that ran more than once.
    """

    requests: int
    failed: int
    false_resets: int
    ran_twice: int
    wrong_service: int
    mixed: int
    untrue: int

    @property
    def is_clean(self) -> bool:
        """Whether nothing happened that must never happen."""
        never = (self.false_resets, self.ran_twice, self.wrong_service)
        return not any((*never, self.mixed, self.untrue))


@dataclass(kw_only=True)
class PacketLoad:
    """Runs callers against a deployment until stopped.

    Attributes:
        shared_by_service: Which other services may run the requests of one.
    """

    deployment: PacketDeployment
    seed: int = 0
    counts: Counter = field(default_factory=Counter)
    reasons: Counter = field(default_factory=Counter)
    shared_by_service: dict[str, tuple[str, ...]] = field(default_factory=dict)
    _tasks: list[asyncio.Task] = field(default_factory=list)
    _is_stopping: bool = False
    _number: int = 0
    _services_by_request: dict[str, str] = field(default_factory=dict)

    def start(self, *, readers: int, writers: int, uploaders: int) -> None:
        """Start callers with long flows, with a flow a request, and uploaders."""
        habits = [self._read] * readers + [self._write] * writers
        habits += [self._upload] * uploaders
        for number, habit in enumerate(habits):
            draw = random.Random(f"{self.seed} {number}")
            self._tasks.append(asyncio.create_task(self._forever(habit, draw)))

    async def stop(self) -> Verdict:
        """Let callers finish and judge."""
        self._is_stopping = True
        await asyncio.gather(*self._tasks)
        return self.verdict()

    def verdict(self) -> Verdict:
        """Judge by what callers saw and what targets ran."""
        runs: Counter = Counter()
        wrong = 0
        for target in self.deployment.targets_by_name.values():
            runs.update(target.runs_by_id)
            wrong += sum(
                not self._may_run(request, target.service)
                for request in target.runs_by_id
            )
        return Verdict(
            requests=self.counts["answered"],
            failed=self.counts["failed"],
            false_resets=self.counts["false_reset"],
            ran_twice=sum(count > 1 for count in runs.values()),
            wrong_service=wrong,
            mixed=self.counts["mixed"],
            untrue=self.deployment.caller.untrue,
        )

    def _may_run(self, request: str, service: str) -> bool:
        asked = self._services_by_request.get(request)
        return asked is not None and (
            service == asked or service in self.shared_by_service.get(asked, ())
        )

    async def _forever(self, habit, draw: random.Random) -> None:
        while not self._is_stopping:
            await habit(draw)
            await asyncio.sleep(draw.uniform(0.02, 0.1))

    async def _read(self, draw: random.Random) -> None:
        """Send many requests on one flow."""
        flow = await self._open("maps")
        while flow is not None and not self._is_stopping:
            if flow.is_closed_by_target:
                flow.close()
                self.deployment.caller.forget(flow)
                return
            if not await self.request(flow, "maps", answer=READING_BYTES, work_ms=10):
                return
            await asyncio.sleep(draw.uniform(0.05, 0.3))
        if flow is not None:
            flow.close()

    async def _write(self, draw: random.Random) -> None:
        flow = await self._open("maps")
        if flow is not None:
            await self.request(flow, "maps", body=b"b" * 900, work_ms=15)
            flow.close()

    async def _upload(self, draw: random.Random) -> None:
        flow = await self._open("logs")
        if flow is not None:
            await self.request(flow, "logs", body=b"u" * UPLOAD_BYTES)
            flow.close()

    async def _open(self, service: str) -> CallerFlow | None:
        try:
            return await self.deployment.caller.open(SERVICES[service])
        except FlowEnded as ended:
            self.counts["not_opened"] += 1
            self.reasons[f"open: {ended}"] += 1
            return None

    async def request(self, flow: CallerFlow, service: str, **fields) -> bool:
        """Send a request of its own on a flow; tell whether it was answered."""
        self._number += 1
        request = f"{service}-{self._number}"
        self._services_by_request[request] = service
        try:
            answer = await asyncio.wait_for(
                flow.request(request, **fields), REQUEST_SECONDS
            )
        except (FlowEnded, TimeoutError) as error:
            self.counts["failed"] += 1
            self.reasons[f"request: {error!r}"] += 1
            holders = self._holders(flow)
            if flow.resets and holders:
                self.counts["false_reset"] += 1
                self.reasons[f"false reset: {flow.own}, held by {holders}"] += 1
            self.deployment.caller.forget(flow)
            return False
        is_whole = len(answer.body) == fields.get("answer", 100)
        if answer.request != request or not is_whole:
            self.counts["mixed"] += 1
        self.counts["answered"] += 1
        return True

    def _holders(self, flow: CallerFlow) -> list[str]:
        return [
            name
            for name, target in self.deployment.targets_by_name.items()
            if target.holds(flow.own, flow.peer)
        ]
