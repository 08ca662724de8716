"""The asyncio interface of the library: requests, uploads and streams."""

import asyncio
import os
import random
import time
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass

import structlog

from monsoonpier.caller.retries import Retry, RetryBudget, decide_retry
from monsoonpier.caller.session import (
    FlowLostEvent,
    FlowOpened,
    FlowRejected,
    FlowSession,
    GoAwayReceived,
    ItemsReady,
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
HEADER_BYTES = 24  # of a datagram, up to and including the flow id
MAX_CLOSED_FLOWS = 32  # for which `Close` is resent if their agents still send


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamItem:
    """One item of a stream."""

    number: int
    body: bytes


class Caller:
    """Calls one service at its address; use it as an async context manager.

    Requests return their outcome as a value of `Outcome`; failures of the
    service are not raised.
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
        self._pending_by_request: dict[tuple[bytes, int], asyncio.Future] = {}
        self._queue_by_stream: dict[tuple[bytes, int], asyncio.Queue] = {}
        self._closed_tokens_by_flow: dict[bytes, bytes] = {}
        self._open_lock = asyncio.Lock()
        self._timers_changed = asyncio.Event()
        self._timer_task: asyncio.Task | None = None
        self.counts: Counter[str] = Counter()

    async def __aenter__(self) -> "Caller":
        await self.start()
        return self

    async def __aexit__(self, *exception) -> None:
        await self.close()

    async def start(self) -> None:
        """Open the socket and start the timers; flows are opened on demand."""
        self._socket = await open_udp(self._receive, ip="0.0.0.0", port=0)
        self._timer_task = asyncio.create_task(self._run_timers())
        self._timer_task.add_done_callback(_log_failure)

    async def close(self) -> None:
        """Close all flows and the socket."""
        for session in list(self._sessions_by_flow.values()):
            session.close()
            self._send_outbox(session)
        # Let the event loop send the Close messages before the socket closes.
        await asyncio.sleep(0)
        if self._timer_task is not None:
            self._timer_task.cancel()
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
            kind: The kind of work, as named in the service's configuration.
            body: The request's body, up to 72 MB.
            deadline: Seconds until the request times out.
            idempotent: Whether to retry a request that may have run. One that
                did not run is retried in any case, within the retry budget.
        """
        if not Transfer.fits(body):
            return NotRun(reason="the body is too large", retry_after=0.0)
        deadline_at = _now() + deadline
        free_retries = 0
        while True:
            outcome = await self._request_once(kind, body, deadline_at=deadline_at)
            if isinstance(outcome, Done):
                self._budget = self._budget.after_success()
            decision = decide_retry(
                outcome,
                idempotent=idempotent,
                budget=self._budget,
                free_retries=free_retries,
                time_left=deadline_at - _now(),
            )
            if not isinstance(decision, Retry) or _now() >= deadline_at:
                return outcome
            if decision.uses_budget:
                self._budget = self._budget.after_retry()
                self.counts["retries"] += 1
            else:
                free_retries += 1
            self._abandon_flow()
            await asyncio.sleep(decision.wait)

    async def upload(
        self, kind: str, body: bytes, *, deadline: float = 60.0
    ) -> Outcome:
        """Send a large body as one non-idempotent request."""
        return await self.request(kind, body, deadline=deadline)

    async def _request_once(
        self, kind: str, body: bytes, *, deadline_at: float
    ) -> Outcome:
        """Send a request on one flow, without retries, and return its outcome."""
        try:
            async with asyncio.timeout_at(_loop_time(deadline_at)):
                session = await self._open_session()
        except TimeoutError:
            # No request was sent on a flow, so nothing has run.
            return NotRun(reason="no flow before the deadline", retry_after=1.0)
        if isinstance(session, Refused):
            return session
        number = session.request(kind, body, deadline=deadline_at, now=_now())
        future = asyncio.get_running_loop().create_future()
        key = (session.flow, number)
        self._pending_by_request[key] = future
        self._send_outbox(session)
        try:
            return await future
        except asyncio.CancelledError:
            session.cancel(number, now=_now())
            self._send_outbox(session)
            raise
        finally:
            self._pending_by_request.pop(key, None)
            self._close_if_unused(session)

    # Streams

    async def stream(self, kind: str, *, after: int = 0) -> AsyncIterator[StreamItem]:
        """Yield a stream's items, from the one after number ``after``.

        If the stream's target shuts down or fails, the stream resumes on another
        flow after the last item yielded: no item is lost or repeated. It ends
        when the target ends it.
        """
        last = after
        wait = STREAM_RETRY_SECONDS
        while True:
            session = await self._open_session()
            if isinstance(session, Refused):
                await asyncio.sleep(max(wait, session.retry_after))
                wait = min(wait * 2, MAX_STREAM_RETRY_SECONDS)
                continue
            number = session.open_stream(kind, after=last, now=_now())
            queue: asyncio.Queue = asyncio.Queue()
            self._queue_by_stream[(session.flow, number)] = queue
            self._send_outbox(session)
            try:
                async for event in self._stream_events(queue, session):
                    match event:
                        case ItemsReady(items=items):
                            wait = STREAM_RETRY_SECONDS
                            for item_number, body in items:
                                last = item_number
                                yield StreamItem(number=item_number, body=body)
                        case StreamEnded(reopen=False):
                            return
            finally:
                self._queue_by_stream.pop((session.flow, number), None)
                session.close_stream(number)
                self._send_outbox(session)
                self._close_if_unused(session)
            self.counts["streams_resumed"] += 1

    async def _stream_events(
        self, queue: asyncio.Queue, session: FlowSession
    ) -> AsyncIterator[ItemsReady | StreamEnded]:
        """Yield a stream's events until it ends or must resume on another flow.

        The other flow is opened while this one still delivers items.
        """
        opening: asyncio.Task | None = None
        while True:
            event = await _next_event(queue, opening)
            match event:
                case GoAwayReceived():
                    opening = opening or asyncio.create_task(self._open_session())
                case ItemsReady():
                    yield event
                case StreamEnded():
                    yield event
                    return
                case None if isinstance(opening.result(), Refused):
                    # Continue on this flow and retry opening another one.
                    await asyncio.sleep(STREAM_RETRY_SECONDS)
                    opening = asyncio.create_task(self._open_session())
                case None:
                    return

    # Flows

    async def _open_session(self) -> FlowSession | Refused:
        """Return a flow that takes new work; open one if there is none."""
        async with self._open_lock:
            while True:
                session = self._session
                if session is not None and session.takes_work:
                    return session
                session = FlowSession(flow=os.urandom(FLOW_ID_BYTES), now=_now())
                refused = await self._open_flow(session)
                if refused is not None:
                    return refused
                # The flow's owner may already have sent GoAway.
                if session.takes_work:
                    self._session = session
                    self.counts["flows"] += 1

    async def _open_flow(self, session: FlowSession) -> Refused | None:
        """Open a flow; return the rejection if it is rejected."""
        opening = asyncio.get_running_loop().create_future()
        self._sessions_by_flow[session.flow] = session
        self._opening_by_flow[session.flow] = opening
        self._handle_events(session, session.poll(now=_now()))
        try:
            return await opening
        finally:
            self._opening_by_flow.pop(session.flow, None)
            if not session.takes_work:
                session.close()
                self._send_outbox(session)
                self._sessions_by_flow.pop(session.flow, None)

    def _abandon_flow(self) -> None:
        """Stop using the current flow; the next request opens another."""
        session, self._session = self._session, None
        if session is not None:
            session.is_moving = True
            self._close_if_unused(session)

    def _close_if_unused(self, session: FlowSession) -> None:
        """Close a flow that is lost, or that takes no new work and has none left."""
        if not session.is_closed and not (session.is_moving and session.is_idle):
            return
        session.close()
        self._send_outbox(session)
        if self._sessions_by_flow.pop(session.flow, None) and session.token:
            self._closed_tokens_by_flow[session.flow] = session.token
            while len(self._closed_tokens_by_flow) > MAX_CLOSED_FLOWS:
                del self._closed_tokens_by_flow[next(iter(self._closed_tokens_by_flow))]
        if self._session is session:
            self._session = None

    # Datagrams and time

    def _receive(self, data: bytes, sender: tuple[str, int]) -> None:
        sessions = self._find_sessions(data)
        for session in sessions:
            self._handle_events(session, session.receive(data, now=_now()))
        if not sessions:
            self._resend_close(data)

    def _resend_close(self, data: bytes) -> None:
        """Resend `Close` to an agent that still uses a closed flow."""
        for flow, token in self._closed_tokens_by_flow.items():
            if flow in data[:HEADER_BYTES]:
                close = caller_codec.encode(Close(flow=flow, token=token))
                self._socket.send(close, self._address.endpoint)
                return

    def _find_sessions(self, data: bytes) -> list[FlowSession]:
        """Return the sessions whose flow id is in a datagram's header."""
        head = data[:HEADER_BYTES]
        return [s for flow, s in self._sessions_by_flow.items() if flow in head]

    async def _run_timers(self) -> None:
        """Poll each session when it is due."""
        while True:
            self._timers_changed.clear()
            due = min((s.due for s in self._sessions_by_flow.values()), default=None)
            wait = None if due is None else max(0.001, due - _now())
            try:
                async with asyncio.timeout(wait):
                    await self._timers_changed.wait()
            except TimeoutError:
                pass
            for session in list(self._sessions_by_flow.values()):
                if session.due <= _now():
                    self._handle_events(session, session.poll(now=_now()))

    def _handle_events(self, session: FlowSession, events: list) -> None:
        for event in events:
            self._handle_event(session, event)
        self._send_outbox(session)

    def _handle_event(self, session: FlowSession, event) -> None:
        """Pass an event to the opening, request or stream that waits for it."""
        match event:
            case FlowOpened():
                self._finish_opening(session, None)
            case FlowRejected(reason=reason, retry_after=retry_after):
                refused = Refused(reason=reason, retry_after=retry_after)
                self._finish_opening(session, refused)
            case RequestEnded(request=number, outcome=outcome):
                if isinstance(outcome, FlowLost):
                    self.counts["flows_lost"] += 1
                if isinstance(outcome, FlowLost | Late):
                    # The owner may have failed; use another flow from now on.
                    session.is_moving = True
                future = self._pending_by_request.get((session.flow, number))
                if future is not None and not future.done():
                    future.set_result(outcome)
            case ItemsReady(request=number) | StreamEnded(request=number):
                queue = self._queue_by_stream.get((session.flow, number))
                if queue is not None:
                    queue.put_nowait(event)
            case GoAwayReceived():
                self.counts["moves"] += 1
                for (flow, _), queue in self._queue_by_stream.items():
                    if flow == session.flow:
                        queue.put_nowait(event)
                self._close_if_unused(session)
            case FlowLostEvent():
                self.counts["flows_gone"] += 1
                self._close_if_unused(session)

    def _finish_opening(self, session: FlowSession, outcome: Refused | None) -> None:
        """End the opening of a flow; ``outcome`` is its rejection, if any."""
        opening = self._opening_by_flow.get(session.flow)
        if opening is not None and not opening.done():
            opening.set_result(outcome)

    def _send_outbox(self, session: FlowSession) -> None:
        outbox, session.outbox = session.outbox, []
        for datagram in outbox:
            self._socket.send(datagram, self._address.endpoint)
        self._timers_changed.set()


async def _next_event(queue: asyncio.Queue, opening: asyncio.Task | None):
    """Return a stream's next event, or ``None`` once ``opening`` is done.

    Events that are queued come first.
    """
    if opening is None:
        return await queue.get()
    if not queue.empty():
        return queue.get_nowait()
    getting = asyncio.create_task(queue.get())
    try:
        await asyncio.wait([getting, opening], return_when=asyncio.FIRST_COMPLETED)
        return getting.result() if getting.done() else None
    finally:
        getting.cancel()


def _now() -> float:
    return time.monotonic()


def _loop_time(when: float) -> float:
    """Convert a time of `_now` to the running event loop's clock."""
    return asyncio.get_running_loop().time() + (when - _now())


def _log_failure(task: asyncio.Task) -> None:
    """Log an error if the timer task has failed."""
    if not task.cancelled() and task.exception() is not None:
        _log.error("caller's timer task failed", exc_info=task.exception())
