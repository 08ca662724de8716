"""At most once: what to do with a request's datagrams, and how it ends.

A request id is run at most once by an agent instance. Its outcome, a refusal
included, is kept until the caller's mark has passed it, so that a duplicate
that arrives later meets the outcome and not the target.
"""

import random
from collections import OrderedDict
from hashlib import blake2b

from monsoonpier.agent.tokens.actions import (
    Abort,
    Aborted,
    Action,
    Answered,
    Broke,
    NeverSent,
    RequestKey,
    Run,
    RunResult,
    Shed,
    TimedOut,
)
from monsoonpier.agent.tokens.condition import TargetLife
from monsoonpier.agent.tokens.flows import Answer, Flow, Request, Stage
from monsoonpier.agent.tokens.limits import (
    Admitted,
    NotAdmitted,
    Pressure,
    Queued,
    admit,
    smooth,
)
from monsoonpier.agent.tokens.replies import already_done, progress, verdict
from monsoonpier.model.service import Service
from monsoonpier.wire.datagrams import (
    DIGEST_BYTES,
    PART_BYTES,
    Progress,
    RequestPart,
    Verdict,
    VerdictKind,
)

__all__ = ["RequestDesk"]

WINDOW = 64  # unfinished or unacknowledged requests in a flow
MAX_KEPT_BYTES = 64 * 1_048_576  # outcomes and incoming bodies, of all flows
FAIR_TIMES = 3.0  # the usual time of a run; a shorter deadline is no evidence
MAX_ANSWER_BYTES = 8 * 1_048_576
FIRST_PARTS = 16  # answer parts sent without being asked for
PROGRESS_EVERY = 8  # parts of an upload between two reports of progress


class RequestDesk:
    """Decides on the requests of all flows of one agent.

    Holds the queue, the slots and the count of kept bytes. It does no I/O:
    methods return actions, and the present time and random draws are
    arguments.
    """

    def __init__(self, *, slots: int) -> None:
        self._slots = slots
        self._queue: OrderedDict[RequestKey, tuple[Flow, Request, bytes]] = (
            OrderedDict()
        )
        self._running_by_key: dict[RequestKey, tuple[Flow, Request, float]] = {}
        self._kept_bytes = 0
        self._service_seconds = 0.0
        self._refusals = 0.0
        self._refusals_at = 0.0
        self.outcomes_by_name: dict[str, int] = {}

    @property
    def in_flight(self) -> int:
        """Requests at the target now, aborted ones included until they end."""
        return len(self._running_by_key)

    @property
    def queued(self) -> int:
        """Requests waiting for a slot."""
        return len(self._queue)

    @property
    def kept_bytes(self) -> int:
        """Bytes of outcomes and incoming bodies that are kept now."""
        return self._kept_bytes

    @property
    def service_seconds(self) -> float:
        """The smoothed time of one run; 0 before the first."""
        return self._service_seconds

    def _pressure(self) -> Pressure:
        timed = {}
        if self._service_seconds:
            timed["service_seconds"] = self._service_seconds
        return Pressure(
            slots=self._slots,
            in_flight=self.in_flight,
            queued=self.queued,
            refusals=self._refusals,
            refusals_at=self._refusals_at,
            **timed,
        )

    # Datagrams

    def take_part(
        self,
        flow: Flow,
        part: RequestPart,
        *,
        service: Service | None,
        life: TargetLife,
        now: float,
        draw: random.Random,
    ) -> tuple[list[Action], list]:
        """Return the actions and the replies for one part of a request."""
        if part.request < flow.mark:
            return [], [already_done(flow, part.request)]
        if part.request >= flow.mark + WINDOW:
            # A refusal would need a tombstone beyond the bound; a caller that
            # keeps to the window never gets here.
            return [], []
        request = flow.requests_by_id.get(part.request)
        if request is None:
            request = self._new(flow, part, now=now)
            refusal = self._refusal(part, service=service, life=life, now=now)
            if refusal is not None:
                reason, retry_after, reopen = refusal
                return [], self._not_run(
                    flow, request, reason, retry_after=retry_after, reopen=reopen
                )
        if request.stage is Stage.FINISHED:
            return [], self.outcome(flow, request)
        if request.stage is not Stage.RECEIVING:
            return [], [progress(flow, request)]
        return self._add_part(flow, request, part, service=service, now=now, draw=draw)

    def fetch(self, flow: Flow, request_id: int, missing: tuple[int, ...]) -> list:
        """Return replies for a caller that asks how a request stands."""
        if request_id < flow.mark:
            return [already_done(flow, request_id)]
        request = flow.requests_by_id.get(request_id)
        if request is None:
            return [Progress(flow=flow.id, request=request_id, have_below=0)]
        if request.stage is Stage.FINISHED:
            return self.outcome(flow, request, missing=missing)
        return [progress(flow, request)]

    def cancel(
        self, flow: Flow, request_id: int, *, now: float
    ) -> tuple[list[Action], list]:
        """Return the actions and replies for a request that is given up."""
        if request_id < flow.mark:
            return [], [already_done(flow, request_id)]
        if request_id >= flow.mark + WINDOW:
            return [], []
        request = flow.requests_by_id.get(request_id)
        if request is None:
            # The request's own datagrams may still come; they must not run.
            request = Request(id=request_id, kind="", parts=1, digest=b"", deadline=now)
            flow.requests_by_id[request_id] = request
        match request.stage:
            case Stage.FINISHED:
                return [], self.outcome(flow, request)
            case Stage.RUNNING:
                self._finish(
                    flow,
                    request,
                    verdict(flow, request, VerdictKind.CANCELLED, "cancelled"),
                )
                key = RequestKey(flow.id, request_id)
                return [Abort(key=key)], self.outcome(flow, request)
            case _:
                self._drop_queued(flow, request)
                return [], self._not_run(flow, request, "cancelled", retry_after=0.0)

    def advance_mark(self, flow: Flow, mark: int) -> list[Action]:
        """Forget what lies below the caller's mark; returns aborts, if any."""
        if mark <= flow.mark:
            return []
        flow.mark = mark
        actions: list[Action] = []
        for request_id in [i for i in flow.requests_by_id if i < mark]:
            actions += self._forget(flow, flow.requests_by_id.pop(request_id))
        return actions

    def forget_flow(self, flow: Flow) -> list[Action]:
        """Drop every request of a flow that ends."""
        actions: list[Action] = []
        for request in flow.requests_by_id.values():
            actions += self._forget(flow, request)
        flow.requests_by_id.clear()
        return actions

    # The target's results

    def had_fair_time(self, key: RequestKey) -> bool:
        """Tell whether a run was given time enough to speak against the target."""
        found = self._running_by_key.get(key)
        if found is None:
            return False
        return found[2] >= FAIR_TIMES * self._service_seconds

    def ended(
        self, key: RequestKey, result: RunResult, *, now: float, draw: random.Random
    ) -> tuple[Flow | None, list]:
        """Take the result of a run; return its flow and the replies to send."""
        found = self._running_by_key.pop(key, None)
        if found is None:
            return None, []
        flow, request, _ = found
        if isinstance(result, Answered):
            self._service_seconds = (
                smooth(self._service_seconds, result.seconds)
                if self._service_seconds
                else result.seconds
            )
        if request.stage is Stage.FINISHED:
            # Late or cancelled: its outcome is final, the answer is dropped.
            return flow, []
        match result:
            case Answered(status=status, body=body) if len(body) <= MAX_ANSWER_BYTES:
                answer = Answer(
                    status=status,
                    body=body,
                    digest=blake2b(body, digest_size=DIGEST_BYTES).digest(),
                )
                self._finish(flow, request, answer)
            case Answered():
                self._unknown(flow, request, "the answer is too large")
            case Shed(retry_after=retry_after):
                self._count_refusal(now=now)
                pressure = self._pressure().retry_after(now=now, draw=draw)
                return flow, self._not_run(
                    flow,
                    request,
                    "shed by the target",
                    retry_after=max(retry_after, pressure),
                )
            case NeverSent(reason=reason):
                return flow, self._not_run(
                    flow, request, reason, retry_after=1.0, reopen=True
                )
            case Broke(reason=reason):
                self._unknown(flow, request, reason)
            case Aborted():
                self._unknown(flow, request, "aborted")
            case TimedOut():
                self._finish(
                    flow,
                    request,
                    verdict(flow, request, VerdictKind.LATE, "deadline passed"),
                )
        return flow, self.outcome(flow, request)

    def next_runs(self, *, life: TargetLife, now: float) -> tuple[list[Run], list]:
        """Fill free slots from the queue; return runs and replies by flow."""
        runs: list[Run] = []
        refused: list[tuple[Flow, list]] = []
        slots = 1 if life.one_at_a_time else self._slots
        while self._queue and self.in_flight < slots:
            key, (flow, request, body) = self._queue.popitem(last=False)
            self._kept_bytes -= len(body)
            if now >= request.deadline:
                refused.append((flow, self._expired(flow, request)))
                continue
            runs.append(self._start(flow, request, body, now=now))
        return runs, refused

    def expire(
        self, flow: Flow, request_id: int, *, now: float
    ) -> tuple[list[Action], list]:
        """Return what follows if the request's deadline has passed."""
        request = flow.requests_by_id.get(request_id)
        if request is None or request.stage is Stage.FINISHED or now < request.deadline:
            return [], []
        if request.stage is Stage.RUNNING:
            late = verdict(flow, request, VerdictKind.LATE, "deadline passed")
            self._finish(flow, request, late)
            abort = Abort(key=RequestKey(flow.id, request_id), late=True)
            return [abort], self.outcome(flow, request)
        self._drop_queued(flow, request)
        return [], self._expired(flow, request)

    def outcome(
        self, flow: Flow, request: Request, *, missing: tuple[int, ...] = ()
    ) -> list:
        """Return the datagrams of a finished request's outcome."""
        match request.outcome:
            case Answer() as answer:
                wanted = missing or range(min(answer.parts, FIRST_PARTS))
                return [
                    answer.part(number, flow=flow.id, request=request.id)
                    for number in wanted
                    if number < answer.parts
                ]
            case Verdict() as final:
                return [final]
        return []

    # Private steps

    def _new(self, flow: Flow, part: RequestPart, *, now: float) -> Request:
        request = Request(
            id=part.request,
            kind=part.kind,
            parts=part.parts,
            digest=part.digest,
            deadline=now + part.time_left_ms / 1000,
        )
        flow.requests_by_id[part.request] = request
        return request

    def _refusal(
        self,
        part: RequestPart,
        *,
        service: Service | None,
        life: TargetLife,
        now: float,
    ) -> tuple[str, float, bool] | None:
        """Return reason, retry-after and reopen hint if it can't be taken."""
        if life.is_leaving:
            return "leaving", 0.0, True
        if not life.takes_requests:
            return life.label, life.retry_after(now=now), True
        if life.one_at_a_time and self.in_flight:
            return life.label, life.retry_after(now=now), True
        if service is None:
            return "no configuration", 1.0, True
        kind = service.kinds_by_name.get(part.kind)
        if kind is None or kind.stream:
            return f"no kind of work {part.kind!r}", 0.0, False
        if part.parts * PART_BYTES > service.limits.max_request_bytes + PART_BYTES:
            return "too large", 0.0, False
        if self._kept_bytes + part.parts * PART_BYTES > MAX_KEPT_BYTES:
            # Outcomes that can be asked for are never dropped for new work.
            return "memory is full", 1.0, True
        return None

    def _add_part(
        self,
        flow: Flow,
        request: Request,
        part: RequestPart,
        *,
        service: Service | None,
        now: float,
        draw: random.Random,
    ) -> tuple[list[Action], list]:
        if part.digest != request.digest or part.parts != request.parts:
            return [], []
        had_gap = request.has_gap
        if request.add(part.part, part.body):
            self._kept_bytes += len(part.body)
        if request.whole:
            return self._admit(flow, request, service=service, now=now, draw=draw)
        # A report for each part beyond a gap would set off as many resends.
        is_new_gap = request.has_gap and not had_gap
        if is_new_gap or request.datagrams % PROGRESS_EVERY == 0:
            return [], [progress(flow, request)]
        return [], []

    def _admit(
        self,
        flow: Flow,
        request: Request,
        *,
        service: Service | None,
        now: float,
        draw: random.Random,
    ) -> tuple[list[Action], list]:
        body = request.take_body()
        self._kept_bytes -= len(body)
        if blake2b(body, digest_size=DIGEST_BYTES).digest() != request.digest:
            return [], self._not_run(
                flow, request, "digest does not match", retry_after=0.0
            )
        queue_limit = self._slots * (service.limits.queue_per_slot if service else 1)
        decision = admit(
            self._pressure(),
            queue_limit=queue_limit,
            time_left=request.deadline - now,
            now=now,
            draw=draw,
        )
        match decision:
            case Admitted():
                run = self._start(flow, request, body, now=now)
                return [run], [progress(flow, request)]
            case Queued():
                request.stage = Stage.QUEUED
                self._kept_bytes += len(body)
                key = RequestKey(flow.id, request.id)
                self._queue[key] = (flow, request, body)
                return [], [progress(flow, request)]
            case NotAdmitted(reason=reason, retry_after=retry_after):
                self._count_refusal(now=now)
                return [], self._not_run(
                    flow, request, reason, retry_after=retry_after, reopen=True
                )

    def _start(self, flow: Flow, request: Request, body: bytes, *, now: float) -> Run:
        request.stage = Stage.RUNNING
        key = RequestKey(flow.id, request.id)
        time_left = request.deadline - now
        self._running_by_key[key] = (flow, request, time_left)
        return Run(key=key, kind=request.kind, body=body, time_left=time_left)

    def _finish(self, flow: Flow, request: Request, outcome: Verdict | Answer) -> None:
        self._kept_bytes -= sum(map(len, request.body_by_part.values()))
        request.body_by_part = {}
        request.stage = Stage.FINISHED
        request.outcome = outcome
        if isinstance(outcome, Answer):
            self._kept_bytes += len(outcome.body)
            name = "done"
        else:
            name = outcome.kind.name.lower()
        self.outcomes_by_name[name] = self.outcomes_by_name.get(name, 0) + 1

    def _not_run(
        self,
        flow: Flow,
        request: Request,
        reason: str,
        *,
        retry_after: float,
        reopen: bool = False,
    ) -> list:
        refusal = verdict(
            flow,
            request,
            VerdictKind.NOT_RUN,
            reason,
            retry_after_ms=int(retry_after * 1000),
            reopen=reopen,
        )
        self._finish(flow, request, refusal)
        return [refusal]

    def _expired(self, flow: Flow, request: Request) -> list:
        return self._not_run(flow, request, "deadline passed in queue", retry_after=0.0)

    def _unknown(self, flow: Flow, request: Request, reason: str) -> None:
        self._finish(flow, request, verdict(flow, request, VerdictKind.UNKNOWN, reason))

    def _count_refusal(self, *, now: float) -> None:
        self._refusals = self._pressure().refusals_now(now=now) + 1
        self._refusals_at = now

    def _drop_queued(self, flow: Flow, request: Request) -> None:
        entry = self._queue.pop(RequestKey(flow.id, request.id), None)
        if entry is not None:
            self._kept_bytes -= len(entry[2])

    def _forget(self, flow: Flow, request: Request) -> list[Action]:
        """Drop a request; one that is running keeps its slot until it ends."""
        self._drop_queued(flow, request)
        self._kept_bytes -= sum(map(len, request.body_by_part.values()))
        if isinstance(request.outcome, Answer):
            self._kept_bytes -= len(request.outcome.body)
        if request.stage is Stage.RUNNING:
            request.stage = Stage.FINISHED
            return [Abort(key=RequestKey(flow.id, request.id))]
        return []
