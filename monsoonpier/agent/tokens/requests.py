"""Receives, queues and dispatches requests, with at-most-once execution.

An agent instance runs a request id at most once. It stores the outcome, even
of a rejected request, until the caller's watermark has passed the id. A
duplicate that arrives later gets the stored outcome and doesn't run again.
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
from monsoonpier.agent.tokens.admission import (
    Admitted,
    Queued,
    Rejected,
    TargetLoad,
    admit,
    smooth,
)
from monsoonpier.agent.tokens.condition import TargetLifecycle
from monsoonpier.agent.tokens.flows import Answer, Flow, Request, Stage
from monsoonpier.agent.tokens.replies import already_done, final_status, progress
from monsoonpier.model.service import Service
from monsoonpier.wire.datagrams import (
    DIGEST_BYTES,
    PART_BYTES,
    FinalStatus,
    FinalStatusKind,
    Progress,
    RequestPart,
)

__all__ = ["RequestManager"]

WINDOW = 64  # most unfinished or unacknowledged requests in a flow
MAX_KEPT_BYTES = 64 * 1_048_576  # outcomes and request bodies of all flows
MIN_TIMEOUT_FACTOR = 3.0  # of the service time; shorter timeouts aren't failures
MAX_ANSWER_BYTES = 8 * 1_048_576
FIRST_PARTS = 16  # answer parts sent before the caller fetches the others
PROGRESS_EVERY = 8  # received datagrams between two progress messages


class RequestManager:
    """Manages the requests of all flows of one agent: parts, queue and slots.

    It does no I/O: methods return actions, and take the current time and the
    random number generator as arguments.
    """

    def __init__(self, *, slots: int) -> None:
        self._slots = slots
        self._queue: OrderedDict[RequestKey, tuple[Flow, Request, bytes]] = (
            OrderedDict()
        )
        self._running_by_key: dict[RequestKey, tuple[Flow, Request, float]] = {}
        self._kept_bytes = 0
        self._service_seconds = 0.0
        self._rejections = 0.0
        self._rejections_at = 0.0
        self.outcomes_by_name: dict[str, int] = {}

    @property
    def in_flight(self) -> int:
        """The number of running requests, and of aborted ones that haven't ended."""
        return len(self._running_by_key)

    @property
    def queued(self) -> int:
        """The number of requests that wait for a slot."""
        return len(self._queue)

    @property
    def kept_bytes(self) -> int:
        """The bytes of outcomes and request bodies in memory."""
        return self._kept_bytes

    @property
    def service_seconds(self) -> float:
        """The smoothed duration of a run; 0 before the first."""
        return self._service_seconds

    def _load(self) -> TargetLoad:
        measured = {}
        if self._service_seconds:
            measured["service_seconds"] = self._service_seconds
        return TargetLoad(
            slots=self._slots,
            in_flight=self.in_flight,
            queued=self.queued,
            rejections=self._rejections,
            rejections_at=self._rejections_at,
            **measured,
        )

    # Datagrams

    def receive_part(
        self,
        flow: Flow,
        part: RequestPart,
        *,
        service: Service | None,
        lifecycle: TargetLifecycle,
        now: float,
        draw: random.Random,
    ) -> tuple[list[Action], list]:
        """Store one part of a request; admit the request once it is complete.

        A duplicate gets the request's progress or outcome.

        Returns:
            Actions and replies.
        """
        if part.request < flow.watermark:
            return [], [already_done(flow, part.request)]
        if part.request >= flow.watermark + WINDOW:
            # A rejection would have to be stored, beyond the window's limit.
            # A caller that respects the window sends no such request.
            return [], []
        request = flow.requests_by_id.get(part.request)
        if request is None:
            request = self._add_request(flow, part, now=now)
            rejection = self._find_rejection(
                part, service=service, lifecycle=lifecycle, now=now
            )
            if rejection is not None:
                reason, retry_after, reopen = rejection
                return [], self._reject(
                    flow, request, reason, retry_after=retry_after, reopen=reopen
                )
        if request.stage is Stage.FINISHED:
            return [], self._outcome_messages(flow, request)
        if request.stage is not Stage.RECEIVING:
            return [], [progress(flow, request)]
        return self._add_part(flow, request, part, service=service, now=now, draw=draw)

    def fetch(self, flow: Flow, request_id: int, missing: tuple[int, ...]) -> list:
        """Return replies with the state or outcome of a request.

        ``missing`` are the answer parts that the caller hasn't received.
        """
        if request_id < flow.watermark:
            return [already_done(flow, request_id)]
        request = flow.requests_by_id.get(request_id)
        if request is None:
            return [Progress(flow=flow.id, request=request_id, received_below=0)]
        if request.stage is Stage.FINISHED:
            return self._outcome_messages(flow, request, missing=missing)
        return [progress(flow, request)]

    def cancel(
        self, flow: Flow, request_id: int, *, now: float
    ) -> tuple[list[Action], list]:
        """Cancel a request; return actions and replies."""
        if request_id < flow.watermark:
            return [], [already_done(flow, request_id)]
        if request_id >= flow.watermark + WINDOW:
            return [], []
        request = flow.requests_by_id.get(request_id)
        if request is None:
            # Parts of the request may still arrive; it must not run then.
            request = Request(id=request_id, kind="", parts=1, digest=b"", deadline=now)
            flow.requests_by_id[request_id] = request
        match request.stage:
            case Stage.FINISHED:
                return [], self._outcome_messages(flow, request)
            case Stage.RUNNING:
                self._finish(
                    flow,
                    request,
                    final_status(flow, request, FinalStatusKind.CANCELLED, "cancelled"),
                )
                key = RequestKey(flow.id, request_id)
                return [Abort(key=key)], self._outcome_messages(flow, request)
            case _:
                self._remove_from_queue(flow, request)
                return [], self._reject(flow, request, "cancelled", retry_after=0.0)

    def advance_watermark(self, flow: Flow, watermark: int) -> list[Action]:
        """Discard requests below the caller's watermark; abort those that run."""
        if watermark <= flow.watermark:
            return []
        flow.watermark = watermark
        actions: list[Action] = []
        for request_id in [i for i in flow.requests_by_id if i < watermark]:
            actions += self._discard(flow, flow.requests_by_id.pop(request_id))
        return actions

    def discard_flow(self, flow: Flow) -> list[Action]:
        """Discard every request of a flow that ends; abort those that run."""
        actions: list[Action] = []
        for request in flow.requests_by_id.values():
            actions += self._discard(flow, request)
        flow.requests_by_id.clear()
        return actions

    # Results from the target and deadlines

    def had_enough_time(self, key: RequestKey) -> bool:
        """Return whether a run had enough time for a timeout to count as a failure."""
        found = self._running_by_key.get(key)
        if found is None:
            return False
        return found[2] >= MIN_TIMEOUT_FACTOR * self._service_seconds

    def finish_run(
        self, key: RequestKey, result: RunResult, *, now: float, draw: random.Random
    ) -> tuple[Flow | None, list]:
        """Store the outcome of a run; return its flow and the replies to send."""
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
            # The request was late or cancelled; its outcome stays.
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
                self._finish_unknown(flow, request, "the answer is too large")
            case Shed(retry_after=retry_after):
                self._count_rejection(now=now)
                load_delay = self._load().retry_after(now=now, draw=draw)
                return flow, self._reject(
                    flow,
                    request,
                    "shed by the target",
                    retry_after=max(retry_after, load_delay),
                )
            case NeverSent(reason=reason):
                return flow, self._reject(
                    flow, request, reason, retry_after=1.0, reopen=True
                )
            case Broke(reason=reason):
                self._finish_unknown(flow, request, reason)
            case Aborted():
                self._finish_unknown(flow, request, "aborted")
            case TimedOut():
                self._finish(
                    flow,
                    request,
                    final_status(
                        flow, request, FinalStatusKind.LATE, "deadline passed"
                    ),
                )
        return flow, self._outcome_messages(flow, request)

    def next_runs(
        self, *, lifecycle: TargetLifecycle, now: float
    ) -> tuple[list[Run], list]:
        """Dispatch queued requests to free slots.

        Returns:
            The runs, and the replies to expired requests by flow.
        """
        runs: list[Run] = []
        rejected: list[tuple[Flow, list]] = []
        slots = 1 if lifecycle.one_at_a_time else self._slots
        while self._queue and self.in_flight < slots:
            key, (flow, request, body) = self._queue.popitem(last=False)
            self._kept_bytes -= len(body)
            if now >= request.deadline:
                rejected.append((flow, self._reject_expired(flow, request)))
                continue
            runs.append(self._dispatch(flow, request, body, now=now))
        return runs, rejected

    def expire(
        self, flow: Flow, request_id: int, *, now: float
    ) -> tuple[list[Action], list]:
        """End a request if its deadline has passed; return actions and replies."""
        request = flow.requests_by_id.get(request_id)
        if request is None or request.stage is Stage.FINISHED or now < request.deadline:
            return [], []
        if request.stage is Stage.RUNNING:
            late = final_status(flow, request, FinalStatusKind.LATE, "deadline passed")
            self._finish(flow, request, late)
            abort = Abort(key=RequestKey(flow.id, request_id), late=True)
            return [abort], self._outcome_messages(flow, request)
        self._remove_from_queue(flow, request)
        return [], self._reject_expired(flow, request)

    def _outcome_messages(
        self, flow: Flow, request: Request, *, missing: tuple[int, ...] = ()
    ) -> list:
        """Return the messages that carry a finished request's outcome."""
        match request.outcome:
            case Answer() as answer:
                wanted = missing or range(min(answer.parts, FIRST_PARTS))
                return [
                    answer.part(number, flow=flow.id, request=request.id)
                    for number in wanted
                    if number < answer.parts
                ]
            case FinalStatus() as final:
                return [final]
        return []

    # Helpers

    def _add_request(self, flow: Flow, part: RequestPart, *, now: float) -> Request:
        request = Request(
            id=part.request,
            kind=part.kind,
            parts=part.parts,
            digest=part.digest,
            deadline=now + part.time_left_ms / 1000,
        )
        flow.requests_by_id[part.request] = request
        return request

    def _find_rejection(
        self,
        part: RequestPart,
        *,
        service: Service | None,
        lifecycle: TargetLifecycle,
        now: float,
    ) -> tuple[str, float, bool] | None:
        """Return reason, retry delay and ``reopen`` if the request is rejected."""
        if lifecycle.is_leaving:
            return "leaving", 0.0, True
        if not lifecycle.takes_requests:
            return lifecycle.label, lifecycle.retry_after(now=now), True
        if lifecycle.one_at_a_time and self.in_flight:
            return lifecycle.label, lifecycle.retry_after(now=now), True
        if service is None:
            return "no configuration", 1.0, True
        kind = service.kinds_by_name.get(part.kind)
        if kind is None or kind.stream:
            return f"no kind of work {part.kind!r}", 0.0, False
        if part.parts * PART_BYTES > service.limits.max_request_bytes + PART_BYTES:
            return "too large", 0.0, False
        if self._kept_bytes + part.parts * PART_BYTES > MAX_KEPT_BYTES:
            # Outcomes that callers may still fetch are never dropped.
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
        """Store one part; admit the request once it is complete."""
        if part.digest != request.digest or part.parts != request.parts:
            return [], []
        had_gap = request.has_gap
        if request.add(part.part, part.body):
            self._kept_bytes += len(part.body)
        if request.is_complete:
            return self._admit(flow, request, service=service, now=now, draw=draw)
        # A progress message for each part after a gap would cause resends of
        # the same parts.
        is_new_gap = request.has_gap and not had_gap
        if is_new_gap or request.received_datagrams % PROGRESS_EVERY == 0:
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
        """Check a complete request's digest, then run, queue or reject it."""
        body = request.take_body()
        self._kept_bytes -= len(body)
        if blake2b(body, digest_size=DIGEST_BYTES).digest() != request.digest:
            return [], self._reject(
                flow, request, "digest does not match", retry_after=0.0
            )
        queue_limit = self._slots * (service.limits.queue_per_slot if service else 1)
        decision = admit(
            self._load(),
            queue_limit=queue_limit,
            time_left=request.deadline - now,
            now=now,
            draw=draw,
        )
        match decision:
            case Admitted():
                run = self._dispatch(flow, request, body, now=now)
                return [run], [progress(flow, request)]
            case Queued():
                request.stage = Stage.QUEUED
                self._kept_bytes += len(body)
                key = RequestKey(flow.id, request.id)
                self._queue[key] = (flow, request, body)
                return [], [progress(flow, request)]
            case Rejected(reason=reason, retry_after=retry_after):
                self._count_rejection(now=now)
                return [], self._reject(
                    flow, request, reason, retry_after=retry_after, reopen=True
                )

    def _dispatch(
        self, flow: Flow, request: Request, body: bytes, *, now: float
    ) -> Run:
        """Take a slot for a request and return its run."""
        request.stage = Stage.RUNNING
        key = RequestKey(flow.id, request.id)
        time_left = request.deadline - now
        self._running_by_key[key] = (flow, request, time_left)
        return Run(key=key, kind=request.kind, body=body, time_left=time_left)

    def _finish(
        self, flow: Flow, request: Request, outcome: FinalStatus | Answer
    ) -> None:
        """Store a request's outcome and release its parts."""
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

    def _reject(
        self,
        flow: Flow,
        request: Request,
        reason: str,
        *,
        retry_after: float,
        reopen: bool = False,
    ) -> list:
        """Finish a request with the final status that it did not run."""
        rejection = final_status(
            flow,
            request,
            FinalStatusKind.NOT_RUN,
            reason,
            retry_after_ms=int(retry_after * 1000),
            reopen=reopen,
        )
        self._finish(flow, request, rejection)
        return [rejection]

    def _reject_expired(self, flow: Flow, request: Request) -> list:
        return self._reject(flow, request, "deadline passed in queue", retry_after=0.0)

    def _finish_unknown(self, flow: Flow, request: Request, reason: str) -> None:
        self._finish(
            flow, request, final_status(flow, request, FinalStatusKind.UNKNOWN, reason)
        )

    def _count_rejection(self, *, now: float) -> None:
        self._rejections = self._load().rejections_now(now=now) + 1
        self._rejections_at = now

    def _remove_from_queue(self, flow: Flow, request: Request) -> None:
        entry = self._queue.pop(RequestKey(flow.id, request.id), None)
        if entry is not None:
            self._kept_bytes -= len(entry[2])

    def _discard(self, flow: Flow, request: Request) -> list[Action]:
        """Release a request's memory and queue entry; abort it if it runs.

        An aborted request occupies its slot until its run has ended.
        """
        self._remove_from_queue(flow, request)
        self._kept_bytes -= sum(map(len, request.body_by_part.values()))
        if isinstance(request.outcome, Answer):
            self._kept_bytes -= len(request.outcome.body)
        if request.stage is Stage.RUNNING:
            request.stage = Stage.FINISHED
            return [Abort(key=RequestKey(flow.id, request.id))]
        return []
