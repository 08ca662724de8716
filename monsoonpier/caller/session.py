"""The caller's side of one flow; handles datagrams and timers without I/O."""

from dataclasses import dataclass, field

from monsoonpier.caller.transfer import Transfer
from monsoonpier.model.outcome import Outcome
from monsoonpier.wire.codec import Dropped
from monsoonpier.wire.datagrams import (
    MIN_OPEN_BYTES,
    AnswerPart,
    Cancel,
    Close,
    FinalStatus,
    FlowUnknown,
    GoAway,
    Item,
    Open,
    Opened,
    OpenRejected,
    Ping,
    Pong,
    Progress,
    StreamAck,
    StreamEnd,
    StreamOpen,
    caller_codec,
    reply_codec,
)

__all__ = [
    "FlowLostEvent",
    "FlowOpened",
    "FlowRejected",
    "FlowSession",
    "ItemsReady",
    "GoAwayReceived",
    "RequestEnded",
    "StreamEnded",
]

OPEN_RESEND_SECONDS = 0.1
MAX_OPEN_RESEND_SECONDS = 0.8
OPEN_SECONDS = 3.0  # timeout of opening a flow
PING_SECONDS = 5.0  # between pings on an idle flow
PING_RESEND_SECONDS = 0.5
SILENT_PINGS = 6  # unanswered pings after which the flow counts as lost
STREAM_RESEND_SECONDS = 0.3
STREAM_PING_SECONDS = 1.0  # detects a lost owner on a stream without items
MAX_BUFFERED_ITEMS = 256  # received out of order, per stream


@dataclass(frozen=True, slots=True, kw_only=True)
class FlowOpened:
    """The flow was opened; an agent owns it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FlowRejected:
    """The flow was rejected; ``retry_after`` is in seconds."""

    reason: str
    retry_after: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestEnded:
    """A request ended with an outcome."""

    request: int
    outcome: Outcome


@dataclass(frozen=True, slots=True, kw_only=True)
class ItemsReady:
    """The next items of a stream, in order, as (number, body)."""

    request: int
    items: tuple[tuple[int, bytes], ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamEnded:
    """A stream ended, or must be resumed on another flow if ``reopen``."""

    request: int
    reason: str
    reopen: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class GoAwayReceived:
    """The flow's owner shuts down and asks the caller to use another flow."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FlowLostEvent:
    """The flow is lost; its requests and streams have ended."""


@dataclass(slots=True, kw_only=True)
class _IncomingStream:
    """A stream's position and the items that were received out of order."""

    kind: str
    last: int  # number of the last item received in order
    buffered_by_previous: dict[int, Item] = field(default_factory=dict)
    has_begun: bool = False
    due: float = 0.0
    end: StreamEnd | None = None


class FlowSession:
    """The caller's state of one flow; does no I/O.

    Datagrams to send are put in ``outbox``; send them after each call.
    """

    def __init__(self, *, flow: bytes, now: float) -> None:
        self.flow = flow
        self.token = b""
        self.is_moving = False
        self.is_closed = False
        self.outbox: list[bytes] = []
        self.dropped = 0
        self._next_request = 1
        self._transfers_by_request: dict[int, Transfer] = {}
        self._streams_by_request: dict[int, _IncomingStream] = {}
        self._open_attempts = 0
        self._open_deadline = now + OPEN_SECONDS
        self._open_due = now
        self._ping_due = now
        self._unanswered_pings = 0

    @property
    def is_open(self) -> bool:
        """Whether an agent owns the flow and it is not closed."""
        return bool(self.token) and not self.is_closed

    @property
    def takes_work(self) -> bool:
        """Whether new requests and streams may start on the flow."""
        return self.is_open and not self.is_moving

    @property
    def is_idle(self) -> bool:
        """Whether the flow has neither requests nor streams."""
        return not self._transfers_by_request and not self._streams_by_request

    @property
    def acked(self) -> int:
        """The watermark: the caller has finished with all lower request numbers."""
        unfinished = [*self._transfers_by_request, *self._streams_by_request]
        return min(unfinished, default=self._next_request)

    # Requests and streams

    def request(self, kind: str, body: bytes, *, deadline: float, now: float) -> int:
        """Send a request and return its number.

        ``deadline`` is a time of the same clock as ``now``.
        """
        number = self._allocate_number()
        transfer = Transfer(
            flow=self.flow,
            token=self.token,
            request=number,
            kind=kind,
            body=body,
            deadline=deadline,
            now=now,
        )
        self._transfers_by_request[number] = transfer
        self._enqueue(*transfer.start(acked=self.acked, now=now))
        return number

    def cancel(self, number: int, *, now: float) -> None:
        """Cancel a request; its outcome still follows as an event."""
        transfer = self._transfers_by_request.get(number)
        if transfer is not None:
            self._enqueue(*transfer.cancel(acked=self.acked, now=now))

    def open_stream(self, kind: str, *, after: int, now: float) -> int:
        """Open a stream after item number ``after``; return its request number."""
        number = self._allocate_number()
        self._streams_by_request[number] = _IncomingStream(
            kind=kind, last=after, due=now
        )
        self._poll_stream(number, now=now)
        return number

    def close_stream(self, number: int) -> None:
        """Stop receiving a stream and ask the flow's owner to end it."""
        if self._streams_by_request.pop(number, None) is not None:
            cancel = Cancel(
                flow=self.flow, token=self.token, request=number, acked=self.acked
            )
            self._enqueue(cancel)

    def close(self) -> None:
        """Close the flow and send `Close` to its owner."""
        if self.is_open:
            self._enqueue(Close(flow=self.flow, token=self.token))
        self.is_closed = True

    # Time

    @property
    def due(self) -> float:
        """The time at which to call `poll` next."""
        if self.is_closed:
            return float("inf")
        if not self.token:
            return min(self._open_due, self._open_deadline)
        times = [t.due for t in self._transfers_by_request.values()]
        times += [s.due for s in self._streams_by_request.values()]
        return min(times, default=self._ping_due)

    def poll(self, *, now: float) -> list:
        """Put messages that are due by ``now`` in the outbox; return events."""
        if self.is_closed:
            return []
        if not self.token:
            return self._poll_open(now=now)
        events: list = []
        for number, transfer in list(self._transfers_by_request.items()):
            self._enqueue(*transfer.poll(acked=self.acked, now=now))
            events += self._finish_if_ended(number)
        for number in list(self._streams_by_request):
            if now >= self._streams_by_request[number].due:
                self._poll_stream(number, now=now)
        if self.is_idle and now >= self._ping_due:
            self._ping(now=now)
        if self._unanswered_pings > SILENT_PINGS:
            events += self._end_as_lost()
        return events

    def _poll_open(self, *, now: float) -> list:
        """Send OPEN if it is due; report the flow as rejected at the timeout."""
        if now >= self._open_deadline:
            self.is_closed = True
            return [FlowRejected(reason="no answer to OPEN", retry_after=1.0)]
        if now >= self._open_due:
            message = Open(flow=self.flow, attempt=self._open_attempts)
            padding = MIN_OPEN_BYTES - len(caller_codec.encode(message))
            message = Open(
                flow=self.flow, attempt=self._open_attempts, padding=bytes(padding)
            )
            self._enqueue(message)
            wait = OPEN_RESEND_SECONDS * 2**self._open_attempts
            self._open_due = now + min(wait, MAX_OPEN_RESEND_SECONDS)
            self._open_attempts += 1
        return []

    def _ping(self, *, now: float) -> None:
        """Ping the owner of an idle flow; ping faster while it doesn't reply."""
        self._enqueue(Ping(flow=self.flow, token=self.token, acked=self.acked))
        self._unanswered_pings += 1
        is_first = self._unanswered_pings == 1
        self._ping_due = now + (PING_SECONDS if is_first else PING_RESEND_SECONDS)

    def _poll_stream(self, number: int, *, now: float) -> None:
        """Ping the flow's owner; also resend the stream's latest acknowledgement.

        Before the first item, resend StreamOpen instead of the acknowledgement.
        """
        stream = self._streams_by_request[number]
        if stream.has_begun:
            self._enqueue(
                Ping(flow=self.flow, token=self.token, acked=self.acked),
                self._stream_ack(number, stream),
            )
            self._unanswered_pings += 1
            stream.due = now + (
                STREAM_PING_SECONDS
                if self._unanswered_pings <= 1
                else PING_RESEND_SECONDS
            )
            return
        self._enqueue(
            StreamOpen(
                flow=self.flow,
                token=self.token,
                request=number,
                acked=self.acked,
                kind=stream.kind,
                after=stream.last,
            )
        )
        self._enqueue(Ping(flow=self.flow, token=self.token, acked=self.acked))
        self._unanswered_pings += 1
        stream.due = now + STREAM_RESEND_SECONDS

    # Datagrams

    def receive(self, data: bytes, *, now: float) -> list:
        """Handle a datagram from the flow's owner; return events."""
        message = reply_codec.decode(data)
        if isinstance(message, Dropped) or message.flow != self.flow:
            self.dropped += 1
            return []
        if self.is_closed:
            return []
        match message:
            case Opened(token=token):
                return self._handle_opened(token, now=now)
            case OpenRejected(reason=reason, retry_after_ms=wait) if not self.token:
                self.is_closed = True
                return [FlowRejected(reason=reason, retry_after=wait / 1000)]
            case FlowUnknown() if self.token:
                return self._end_as_lost()
        if not self.token:
            self.dropped += 1
            return []
        self._unanswered_pings = 0
        return self._handle_message(message, now=now)

    def _handle_opened(self, token: bytes, *, now: float) -> list:
        """Store the flow's token; close the flow at another agent that opened it."""
        if self.token:
            if token != self.token:
                # A resent OPEN reached a second agent, which would keep the flow.
                self._enqueue(Close(flow=self.flow, token=token))
            return []
        self.token = token
        self._ping_due = now + PING_SECONDS
        return [FlowOpened()]

    def _handle_message(self, message, *, now: float) -> list:
        """Handle a message on an open flow."""
        match message:
            case Progress() | AnswerPart() | FinalStatus():
                return self._handle_request_message(message, now=now)
            case Item():
                return self._handle_item(message, now=now)
            case StreamEnd():
                return self._handle_stream_end(message, now=now)
            case GoAway():
                if self.is_moving:
                    return []
                self.is_moving = True
                return [GoAwayReceived()]
            case Pong():
                return []
        self.dropped += 1
        return []

    def _handle_request_message(self, message, *, now: float) -> list:
        """Pass a message to its request; return the request's end, if any."""
        transfer = self._transfers_by_request.get(message.request)
        if transfer is None:
            # The request has ended, or was cancelled.
            self.dropped += 1
            return []
        match message:
            case Progress():
                self._enqueue(
                    *transfer.handle_progress(message, acked=self.acked, now=now)
                )
            case AnswerPart():
                self._enqueue(
                    *transfer.handle_answer_part(message, acked=self.acked, now=now)
                )
            case FinalStatus():
                transfer.handle_final_status(message)
        return self._finish_if_ended(message.request)

    def _finish_if_ended(self, number: int) -> list:
        """Remove a request that has an outcome; send the new watermark.

        Returns:
            The event of its end; empty if it has no outcome yet.
        """
        outcome = self._transfers_by_request[number].outcome
        if outcome is None:
            return []
        del self._transfers_by_request[number]
        self._enqueue(Ping(flow=self.flow, token=self.token, acked=self.acked))
        return [RequestEnded(request=number, outcome=outcome)]

    def _handle_item(self, message: Item, *, now: float) -> list:
        """Acknowledge an item; return the items that are next in order."""
        stream = self._streams_by_request.get(message.request)
        if stream is None:
            self.dropped += 1
            return []
        stream.has_begun = True
        stream.due = now + STREAM_PING_SECONDS
        if message.number > stream.last and (
            message.previous == stream.last
            or len(stream.buffered_by_previous) < MAX_BUFFERED_ITEMS
        ):
            stream.buffered_by_previous[message.previous] = message
        items = []
        while stream.last in stream.buffered_by_previous:
            item = stream.buffered_by_previous.pop(stream.last)
            stream.last = item.number
            items.append((item.number, item.body))
        self._enqueue(self._stream_ack(message.request, stream))
        events: list = []
        if items:
            events.append(ItemsReady(request=message.request, items=tuple(items)))
        return events + self._finish_stream(message.request)

    def _handle_stream_end(self, message: StreamEnd, *, now: float) -> list:
        """Store a stream's end until the items before it have arrived."""
        stream = self._streams_by_request.get(message.request)
        if stream is None:
            self.dropped += 1
            return []
        stream.end = message
        return self._finish_stream(message.request)

    def _finish_stream(self, number: int) -> list:
        """End a stream once every item up to its end has been received."""
        stream = self._streams_by_request[number]
        if stream.end is None or stream.last < stream.end.last:
            return []
        self.close_stream(number)
        return [
            StreamEnded(
                request=number, reason=stream.end.reason, reopen=stream.end.reopen
            )
        ]

    def _end_as_lost(self) -> list:
        """Close the flow; end its requests as lost and its streams as resumable."""
        events: list = []
        for number, transfer in list(self._transfers_by_request.items()):
            transfer.end_as_lost()
            events.append(RequestEnded(request=number, outcome=transfer.outcome))
        for number in self._streams_by_request:
            events.append(StreamEnded(request=number, reason="flow lost", reopen=True))
        self._transfers_by_request.clear()
        self._streams_by_request.clear()
        self.is_closed = True
        return [*events, FlowLostEvent()]

    def _stream_ack(self, number: int, stream: _IncomingStream) -> StreamAck:
        return StreamAck(
            flow=self.flow, token=self.token, request=number, up_to=stream.last
        )

    def _allocate_number(self) -> int:
        number = self._next_request
        self._next_request += 1
        return number

    def _enqueue(self, *messages) -> None:
        """Encode messages and put them in the outbox."""
        self.outbox += [caller_codec.encode(message) for message in messages]
