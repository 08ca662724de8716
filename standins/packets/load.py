"""Callers that load a deployment, and checks of what they and targets recorded."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from standins.packets.caller import CallerFlow, FlowEnded
from standins.packets.deployment import SERVICES, PacketDeployment

__all__ = ["PacketLoad", "PacketLoadResult"]

REQUEST_SECONDS = 3.0
UPLOAD_BYTES = 20_000
READING_BYTES = 2_000


@dataclass(frozen=True, slots=True, kw_only=True)
class PacketLoadResult:
    """Counts from records; all but ``requests`` and ``failed`` must be 0.

    Attributes:
        requests: Requests with a response.
        failed: Requests on flows that were reset, closed or timed out.
        false_resets: Flows reset while still open at a target.
        ran_twice: Requests that ran more than once.
        wrong_service: Requests that ran at a target of another service.
        mixed: Responses to another request, or incomplete ones.
        untrue: Packets received with a wrong checksum.
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
        """Whether no guarantee was violated."""
        violations = (self.false_resets, self.ran_twice, self.wrong_service)
        return not any((*violations, self.mixed, self.untrue))


@dataclass(kw_only=True)
class PacketLoad:
    """Runs callers against a deployment until stopped.

    Attributes:
        shared_by_service: Other services whose targets may run a service's requests.
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
        """Start callers.

        Args:
            readers: How many send many requests on one flow.
            writers: How many open a flow for each request.
            uploaders: How many upload large bodies, each on its own flow.
        """
        callers = [self._run_reader] * readers + [self._run_writer] * writers
        callers += [self._run_uploader] * uploaders
        for number, call in enumerate(callers):
            draw = random.Random(f"{self.seed} {number}")
            self._tasks.append(asyncio.create_task(self._repeat(call, draw)))

    async def stop(self) -> PacketLoadResult:
        """Stop callers after their current requests; return the counts."""
        self._is_stopping = True
        await asyncio.gather(*self._tasks)
        return self.result()

    def result(self) -> PacketLoadResult:
        """Return the counts so far."""
        runs: Counter = Counter()
        wrong = 0
        for target in self.deployment.targets_by_name.values():
            runs.update(target.runs_by_id)
            wrong += sum(
                not self._may_run(request, target.service)
                for request in target.runs_by_id
            )
        return PacketLoadResult(
            requests=self.counts["answered"],
            failed=self.counts["failed"],
            false_resets=self.counts["false_reset"],
            ran_twice=sum(count > 1 for count in runs.values()),
            wrong_service=wrong,
            mixed=self.counts["mixed"],
            untrue=self.deployment.caller.bad_checksums,
        )

    def _may_run(self, request: str, service: str) -> bool:
        requested = self._services_by_request.get(request)
        return requested is not None and (
            service == requested or service in self.shared_by_service.get(requested, ())
        )

    async def _repeat(self, call, draw: random.Random) -> None:
        while not self._is_stopping:
            await call(draw)
            await asyncio.sleep(draw.uniform(0.02, 0.1))

    async def _run_reader(self, draw: random.Random) -> None:
        """Send requests on one flow until it ends."""
        flow = await self._open("maps")
        while flow is not None and not self._is_stopping:
            if flow.is_closed_by_target:
                flow.close()
                self.deployment.caller.forget(flow)
                return
            if not await self.request(
                flow, "maps", response_size=READING_BYTES, work_ms=10
            ):
                return
            await asyncio.sleep(draw.uniform(0.05, 0.3))
        if flow is not None:
            flow.close()

    async def _run_writer(self, draw: random.Random) -> None:
        """Send one request on a new flow."""
        flow = await self._open("maps")
        if flow is not None:
            await self.request(flow, "maps", body=b"b" * 900, work_ms=15)
            flow.close()

    async def _run_uploader(self, draw: random.Random) -> None:
        """Send one large request on a new flow."""
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
        """Send a request with a unique id; return whether a response arrived."""
        self._number += 1
        request = f"{service}-{self._number}"
        self._services_by_request[request] = service
        try:
            response = await asyncio.wait_for(
                flow.request(request, **fields), REQUEST_SECONDS
            )
        except (FlowEnded, TimeoutError) as error:
            self.counts["failed"] += 1
            self.reasons[f"request: {error!r}"] += 1
            owners = self._owners(flow)
            if flow.resets and owners:
                self.counts["false_reset"] += 1
                self.reasons[f"false reset: {flow.own}, owned by {owners}"] += 1
            self.deployment.caller.forget(flow)
            return False
        is_complete = len(response.body) == fields.get("response_size", 100)
        if response.request != request or not is_complete:
            self.counts["mixed"] += 1
        self.counts["answered"] += 1
        return True

    def _owners(self, flow: CallerFlow) -> list[str]:
        """Return the names of targets at which the flow is open."""
        return [
            name
            for name, target in self.deployment.targets_by_name.items()
            if target.has_open_flow(flow.own, flow.peer)
        ]
