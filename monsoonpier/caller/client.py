"""The caller's asyncio interface: requests, uploads and streams on flows."""

import asyncio
import os
import random
import time
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass

import structlog

from monsoonpier.caller.retries import Retry, RetryBudget, decide
from monsoonpier.caller.session import (
    FlowLostEvent,
    FlowOpened,
    FlowRefused,
    FlowSession,
    ItemsReady,
    MoveAsked,
    RequestEnded,
    StreamEnded,
)
from monsoonpier.caller.transfer import Transfer
from monsoonpier.model.address import Address
from monsoonpier.model.outcome import (
    Done,
    FlowLost,
    Late,
    NotRun,
    Outcome,
    Refused,
)
from monsoonpier.process.udp import UdpSocket, open_udp
from monsoonpier.wire.codec import FLOW_ID_BYTES
from monsoonpier.wire.datagrams import Close, caller_codec

__all__ = ["Caller", "StreamItem"]

DEFAULT_DEADLINE_SECONDS = 10.0
STREAM_RETRY_SECONDS = 0.2
MAX_STREAM_RETRY_SECONDS = 5.0
_log = structlog.get_logger("monsoonpier.caller.client")
HEAD_BYTES = 24  # version, array header, tag, and the flow id stand in these
CLOSED_KEPT = 32  # flows that are still answered with `Close`


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamItem:
    """One item of a stream."""

    number: int
    body: bytes


class Caller:
    """Calls one service at its address; use as ``async with``.

    Expected outcomes are returned as values of `Outcome`, not raised.
    """

    def __init__(
        self,
        address: str,
        *,
        budget: RetryBudget | None = None,
        draw: random.Random | None = None,
    ) -> None:
        self._address = Address.parse(address)
        self._draw = draw or random.Random()
        self._budget = budget or RetryBudget()
        self._socket: UdpSocket | None = None
        self._session: FlowSession | None = None
        self._sessions_by_flow: dict[bytes, FlowSession] = {}
        self._opening_by_flow: dict[bytes, asyncio.Future] = {}
        self._waiting: dict[tuple[bytes, int], asyncio.Future] = {}
        self._queues: dict[tuple[bytes, int], asyncio.Queue] = {}
        self._closed_tokens_by_flow: dict[bytes, bytes] = {}
        self._open_lock = asyncio.Lock()
        self._wake = asyncio.Event()
        self._pump_task: asyncio.Task | None = None
        self.counts: Counter[str] = Counter()

    async def __aenter__(self) -> "Caller":
        await self.start()
        return self

    async def __aexit__(self, *exception) -> None:
        await self.close()

    async def start(self) -> None:
        """Open the caller's socket; flows are opened when they are needed."""
        self._socket = await open_udp(self._receive, ip="0.0.0.0", port=0)
        self._pump_task = asyncio.create_task(self._pump())
        self._pump_task.add_done_callback(_note_failure)

    async def close(self) -> None:
        """Close all flows and the socket."""
        for session in list(self._sessions_by_flow.values()):
            session.close()
            self._flush(session)
        # Let the closing datagrams out before the socket goes.
        await asyncio.sleep(0)
        if self._pump_task is not None:
            self._pump_task.cancel()
        if self._socket is not None:
            self._socket.close()

    # Requests

    async def request(
        self,
        kind: str,
        body: bytes = b"",
        *,
        deadline: float = DEFAULT_DEADLINE_SECONDS,
        idempotent: bool = False,
    ) -> Outcome:
        """Send a request and return its outcome.

        Args:
            kind: The kind of work, as the operators' configuration names it.
            body: The request's body, up to 72 MB.
            deadline: Seconds from now after which the answer is of no use.
            idempotent: Whether it may be run again if it may have run. Work
                that did not run is tried again, within the retry budget,
                whatever this says.
        """
        if not Transfer.fits(body):
            return NotRun(reason="the body is too large", retry_after=0.0)
        ends = _now() + deadline
        moves = 0
        while True:
            outcome = await self._request_once(kind, body, ends=ends)
            if isinstance(outcome, Done):
                self._budget = self._budget.after_success()
            decision = decide(
                outcome,
                idempotent=idempotent,
                budget=self._budget,
                moves=moves,
                time_left=ends - _now(),
            )
            if not isinstance(decision, Retry) or _now() >= ends:
                return outcome
            if decision.is_charged:
                self._budget = self._budget.after_retry()
                self.counts["retries"] += 1
            else:
                moves += 1
            self._leave_flow()
            await asyncio.sleep(decision.wait)

    async def upload(
        self, kind: str, body: bytes, *, deadline: float = 60.0
    ) -> Outcome:
        """Send a large body as one non-idempotent request."""
        return await self.request(kind, body, deadline=deadline)

    async def _request_once(self, kind: str, body: bytes, *, ends: float) -> Outcome:
        try:
            async with asyncio.timeout_at(_loop_time(ends)):
                session = await self._open_session()
        except TimeoutError:
            # Opening has no effect, so nothing has run.
            return NotRun(reason="no flow before the deadline", retry_after=1.0)
        if isinstance(session, Refused):
            return session
        number = session.request(kind, body, deadline=ends, now=_now())
        future = asyncio.get_running_loop().create_future()
        key = (session.flow, number)
        self._waiting[key] = future
        self._flush(session)
        try:
            return await future
        except asyncio.CancelledError:
            session.cancel(number, now=_now())
            self._flush(session)
            raise
        finally:
            self._waiting.pop(key, None)
            self._retire(session)

    # Streams

    async def stream(self, kind: str, *, after: int = 0) -> AsyncIterator[StreamItem]:
        """Yield a stream's items after number ``after``, without end.

        The stream is resumed on another flow when its target leaves or dies,
        from the last item taken: none is missed and none comes twice. It ends
        when the target ends it.
        """
        taken = after
        wait = STREAM_RETRY_SECONDS
        while True:
            session = await self._open_session()
            if isinstance(session, Refused):
                await asyncio.sleep(max(wait, session.retry_after))
                wait = min(wait * 2, MAX_STREAM_RETRY_SECONDS)
                continue
            number = session.open_stream(kind, after=taken, now=_now())
            queue: asyncio.Queue = asyncio.Queue()
            self._queues[(session.flow, number)] = queue
            self._flush(session)
            try:
                async for event in self._events(queue, session):
                    match event:
                        case ItemsReady(items=items):
                            wait = STREAM_RETRY_SECONDS
                            for item_number, body in items:
                                taken = item_number
                                yield StreamItem(number=item_number, body=body)
                        case StreamEnded(reopen=False):
                            return
            finally:
                self._queues.pop((session.flow, number), None)
                session.close_stream(number)
                self._flush(session)
                self._retire(session)
            self.counts["streams_resumed"] += 1

    async def _events(
        self, queue: asyncio.Queue, session: FlowSession
    ) -> AsyncIterator[ItemsReady | StreamEnded]:
        """Yield a stream's events until it must go on in another flow.

        The other flow is opened while this one still brings items.
        """
        moving: asyncio.Task | None = None
        while True:
            event = await _next_event(queue, moving)
            match event:
                case MoveAsked():
                    moving = moving or asyncio.create_task(self._open_session())
                case ItemsReady():
                    yield event
                case StreamEnded():
                    yield event
                    return
                case None if isinstance(moving.result(), Refused):
                    # Stay as long as the leaving target lets us.
                    await asyncio.sleep(STREAM_RETRY_SECONDS)
                    moving = asyncio.create_task(self._open_session())
                case None:
                    return

    # Flows

    async def _open_session(self) -> FlowSession | Refused:
        """Return a flow that takes new work, opening one if need be."""
        async with self._open_lock:
            while True:
                session = self._session
                if session is not None and session.takes_work:
                    return session
                session = FlowSession(flow=os.urandom(FLOW_ID_BYTES), now=_now())
                refused = await self._open_flow(session)
                if refused is not None:
                    return refused
                # A holder may begin to leave right after it took the flow.
                if session.takes_work:
                    self._session = session
                    self.counts["flows"] += 1

    async def _open_flow(self, session: FlowSession) -> Refused | None:
        """Send OPEN until it is answered; return a refusal, if it is one."""
        opening = asyncio.get_running_loop().create_future()
        self._sessions_by_flow[session.flow] = session
        self._opening_by_flow[session.flow] = opening
        self._handle(session, session.poll(now=_now()))
        try:
            return await opening
        finally:
            self._opening_by_flow.pop(session.flow, None)
            if not session.takes_work:
                session.close()
                self._flush(session)
                self._sessions_by_flow.pop(session.flow, None)

    def _leave_flow(self) -> None:
        """Let the next request open another flow."""
        session, self._session = self._session, None
        if session is not None:
            session.is_moving = True
            self._retire(session)

    def _retire(self, session: FlowSession) -> None:
        """Close a flow that is to be left, once nothing is going on in it."""
        if not session.is_closed and not (session.is_moving and session.is_idle):
            return
        session.close()
        self._flush(session)
        if self._sessions_by_flow.pop(session.flow, None) and session.token:
            self._closed_tokens_by_flow[session.flow] = session.token
            while len(self._closed_tokens_by_flow) > CLOSED_KEPT:
                del self._closed_tokens_by_flow[next(iter(self._closed_tokens_by_flow))]
        if self._session is session:
            self._session = None

    # Datagrams and time

    def _receive(self, data: bytes, sender: tuple[str, int]) -> None:
        found = self._find(data)
        for session in found:
            self._handle(session, session.receive(data, now=_now()))
        if not found:
            self._close_again(data)

    def _close_again(self, data: bytes) -> None:
        """Answer a holder that a lost `Close` has left with a dead flow."""
        for flow, token in self._closed_tokens_by_flow.items():
            if flow in data[:HEAD_BYTES]:
                close = caller_codec.encode(Close(flow=flow, token=token))
                self._socket.send(close, self._address.endpoint)
                return

    def _find(self, data: bytes) -> list[FlowSession]:
        """Return the session a datagram belongs to; its flow id stands in it."""
        head = data[:HEAD_BYTES]
        return [s for flow, s in self._sessions_by_flow.items() if flow in head]

    async def _pump(self) -> None:
        """Run the sessions' timers."""
        while True:
            self._wake.clear()
            due = min((s.due for s in self._sessions_by_flow.values()), default=None)
            wait = None if due is None else max(0.001, due - _now())
            try:
                async with asyncio.timeout(wait):
                    await self._wake.wait()
            except TimeoutError:
                pass
            for session in list(self._sessions_by_flow.values()):
                if session.due <= _now():
                    self._handle(session, session.poll(now=_now()))

    def _handle(self, session: FlowSession, events: list) -> None:
        for event in events:
            self._dispatch(session, event)
        self._flush(session)

    def _dispatch(self, session: FlowSession, event) -> None:
        match event:
            case FlowOpened():
                self._opened(session, None)
            case FlowRefused(reason=reason, retry_after=retry_after):
                refused = Refused(reason=reason, retry_after=retry_after)
                self._opened(session, refused)
            case RequestEnded(request=number, outcome=outcome):
                if isinstance(outcome, FlowLost):
                    self.counts["flows_lost"] += 1
                if isinstance(outcome, FlowLost | Late):
                    # The holder may be ill: the next request goes elsewhere.
                    session.is_moving = True
                future = self._waiting.get((session.flow, number))
                if future is not None and not future.done():
                    future.set_result(outcome)
            case ItemsReady(request=number) | StreamEnded(request=number):
                queue = self._queues.get((session.flow, number))
                if queue is not None:
                    queue.put_nowait(event)
            case MoveAsked():
                self.counts["moves"] += 1
                for (flow, _), queue in self._queues.items():
                    if flow == session.flow:
                        queue.put_nowait(event)
                self._retire(session)
            case FlowLostEvent():
                self.counts["flows_gone"] += 1
                self._retire(session)

    def _opened(self, session: FlowSession, outcome: Refused | None) -> None:
        opening = self._opening_by_flow.get(session.flow)
        if opening is not None and not opening.done():
            opening.set_result(outcome)

    def _flush(self, session: FlowSession) -> None:
        outbox, session.outbox = session.outbox, []
        for datagram in outbox:
            self._socket.send(datagram, self._address.endpoint)
        self._wake.set()


async def _next_event(queue: asyncio.Queue, moving: asyncio.Task | None):
    """Return a stream's next event, or ``None`` once the move is done."""
    if moving is None:
        return await queue.get()
    if not queue.empty():
        return queue.get_nowait()
    getting = asyncio.create_task(queue.get())
    try:
        await asyncio.wait([getting, moving], return_when=asyncio.FIRST_COMPLETED)
        return getting.result() if getting.done() else None
    finally:
        getting.cancel()


def _now() -> float:
    return time.monotonic()


def _loop_time(moment: float) -> float:
    """Return a moment of `_now` on the running loop's clock."""
    return asyncio.get_running_loop().time() + (moment - _now())


def _note_failure(task: asyncio.Task) -> None:
    """Say so if a caller's timers have stopped, which must not happen."""
    if not task.cancelled() and task.exception() is not None:
        _log.error("caller's timers stopped", exc_info=task.exception())
