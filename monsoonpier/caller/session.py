"""One flow as its caller sees it: datagrams and time in, datagrams and events out."""

from dataclasses import dataclass, field

from monsoonpier.caller.transfer import Transfer
from monsoonpier.model.outcome import Outcome
from monsoonpier.wire.codec import Dropped
from monsoonpier.wire.datagrams import (
    MIN_OPEN_BYTES,
    AnswerPart,
    Cancel,
    Close,
    FlowGone,
    Item,
    Move,
    Open,
    Opened,
    OpenRefused,
    Ping,
    Pong,
    Progress,
    StreamAck,
    StreamEnd,
    StreamOpen,
    Verdict,
    caller_codec,
    reply_codec,
)

__all__ = [
    "FlowLostEvent",
    "FlowOpened",
    "FlowRefused",
    "FlowSession",
    "ItemsReady",
    "MoveAsked",
    "RequestEnded",
    "StreamEnded",
]

OPEN_RESEND_SECONDS = 0.1
MAX_OPEN_RESEND_SECONDS = 0.8
OPEN_SECONDS = 3.0
PING_SECONDS = 5.0
PING_RESEND_SECONDS = 0.5
SILENT_PINGS = 6
STREAM_RESEND_SECONDS = 0.3
STREAM_PING_SECONDS = 1.0  # a stream with no items must learn of its holder's end
MAX_HELD_ITEMS = 256  # out of order, while an earlier item is sent again


@dataclass(frozen=True, slots=True, kw_only=True)
class FlowOpened:
    """The flow has a holder."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FlowRefused:
    """No target takes the flow now."""

    reason: str
    retry_after: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestEnded:
    """A request has its outcome."""

    request: int
    outcome: Outcome


@dataclass(frozen=True, slots=True, kw_only=True)
class ItemsReady:
    """The next items of a stream, in order, as (number, body)."""

    request: int
    items: tuple[tuple[int, bytes], ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamEnded:
    """A stream came to its end, or must be resumed on another flow."""

    request: int
    reason: str
    reopen: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class MoveAsked:
    """The holder is leaving."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FlowLostEvent:
    """The holder is gone; what was open on the flow has been ended."""


@dataclass(slots=True, kw_only=True)
class _StreamIn:
    kind: str
    taken: int  # number of the last item taken in order
    held_by_previous: dict[int, Item] = field(default_factory=dict)
    has_begun: bool = False
    due: float = 0.0
    end: StreamEnd | None = None


class FlowSession:
    """Pure but for its own state. Collect ``outbox`` after each call."""

    def __init__(self, *, flow: bytes, now: float) -> None:
        self.flow = flow
        self.token = b""
        self.is_moving = False
        self.is_closed = False
        self.outbox: list[bytes] = []
        self.dropped = 0
        self._next_request = 1
        self._transfers_by_request: dict[int, Transfer] = {}
        self._streams_by_request: dict[int, _StreamIn] = {}
        self._open_attempts = 0
        self._open_until = now + OPEN_SECONDS
        self._open_due = now
        self._ping_due = now
        self._unanswered_pings = 0

    @property
    def is_open(self) -> bool:
        """Whether the flow has a holder."""
        return bool(self.token) and not self.is_closed

    @property
    def takes_work(self) -> bool:
        """Whether new requests and streams may be begun in the flow."""
        return self.is_open and not self.is_moving

    @property
    def is_idle(self) -> bool:
        """Whether nothing is going on in the flow."""
        return not self._transfers_by_request and not self._streams_by_request

    @property
    def acked(self) -> int:
        """The mark: every request below it is finished with."""
        unfinished = [*self._transfers_by_request, *self._streams_by_request]
        return min(unfinished, default=self._next_request)

    # What the caller wants

    def request(self, kind: str, body: bytes, *, deadline: float, now: float) -> int:
        """Send a request and return its number; ``deadline`` is on this clock."""
        number = self._take_number()
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
        self._send(*transfer.start(acked=self.acked, now=now))
        return number

    def cancel(self, number: int, *, now: float) -> None:
        """Give up on a request."""
        transfer = self._transfers_by_request.get(number)
        if transfer is not None:
            self._send(*transfer.cancel(acked=self.acked, now=now))

    def open_stream(self, kind: str, *, after: int, now: float) -> int:
        """Ask for a stream's items after a number; return its request number."""
        number = self._take_number()
        self._streams_by_request[number] = _StreamIn(kind=kind, taken=after, due=now)
        self._poll_stream(number, now=now)
        return number

    def close_stream(self, number: int) -> None:
        """Stop a stream."""
        if self._streams_by_request.pop(number, None) is not None:
            cancel = Cancel(
                flow=self.flow, token=self.token, request=number, acked=self.acked
            )
            self._send(cancel)

    def close(self) -> None:
        """End the flow."""
        if self.is_open:
            self._send(Close(flow=self.flow, token=self.token))
        self.is_closed = True

    # Time

    @property
    def due(self) -> float:
        """When `poll` has something to do next."""
        if self.is_closed:
            return float("inf")
        if not self.token:
            return min(self._open_due, self._open_until)
        times = [t.due for t in self._transfers_by_request.values()]
        times += [s.due for s in self._streams_by_request.values()]
        return min(times, default=self._ping_due)

    def poll(self, *, now: float) -> list:
        """Send what is due by ``now``; return events."""
        if self.is_closed:
            return []
        if not self.token:
            return self._poll_open(now=now)
        events: list = []
        for number, transfer in list(self._transfers_by_request.items()):
            self._send(*transfer.poll(acked=self.acked, now=now))
            events += self._ended(number)
        for number in list(self._streams_by_request):
            if now >= self._streams_by_request[number].due:
                self._poll_stream(number, now=now)
        if self.is_idle and now >= self._ping_due:
            self._ping(now=now)
        if self._unanswered_pings > SILENT_PINGS:
            events += self._lose()
        return events

    def _poll_open(self, *, now: float) -> list:
        if now >= self._open_until:
            self.is_closed = True
            return [FlowRefused(reason="no answer to OPEN", retry_after=1.0)]
        if now >= self._open_due:
            message = Open(flow=self.flow, attempt=self._open_attempts)
            padding = MIN_OPEN_BYTES - len(caller_codec.encode(message))
            message = Open(
                flow=self.flow, attempt=self._open_attempts, padding=bytes(padding)
            )
            self._send(message)
            wait = OPEN_RESEND_SECONDS * 2**self._open_attempts
            self._open_due = now + min(wait, MAX_OPEN_RESEND_SECONDS)
            self._open_attempts += 1
        return []

    def _ping(self, *, now: float) -> None:
        self._send(Ping(flow=self.flow, token=self.token, acked=self.acked))
        self._unanswered_pings += 1
        is_first = self._unanswered_pings == 1
        self._ping_due = now + (PING_SECONDS if is_first else PING_RESEND_SECONDS)

    def _poll_stream(self, number: int, *, now: float) -> None:
        stream = self._streams_by_request[number]
        if stream.has_begun:
            self._send(
                Ping(flow=self.flow, token=self.token, acked=self.acked),
                self._ack(number, stream),
            )
            self._unanswered_pings += 1
            stream.due = now + (
                STREAM_PING_SECONDS
                if self._unanswered_pings <= 1
                else PING_RESEND_SECONDS
            )
            return
        self._send(
            StreamOpen(
                flow=self.flow,
                token=self.token,
                request=number,
                acked=self.acked,
                kind=stream.kind,
                after=stream.taken,
            )
        )
        self._send(Ping(flow=self.flow, token=self.token, acked=self.acked))
        self._unanswered_pings += 1
        stream.due = now + STREAM_RESEND_SECONDS

    # Datagrams

    def receive(self, data: bytes, *, now: float) -> list:
        """Take a datagram that came to the caller; return events."""
        message = reply_codec.decode(data)
        if isinstance(message, Dropped) or message.flow != self.flow:
            self.dropped += 1
            return []
        if self.is_closed:
            return []
        match message:
            case Opened(token=token):
                return self._opened(token, now=now)
            case OpenRefused(reason=reason, retry_after_ms=wait) if not self.token:
                self.is_closed = True
                return [FlowRefused(reason=reason, retry_after=wait / 1000)]
            case FlowGone() if self.token:
                return self._lose()
        if not self.token:
            self.dropped += 1
            return []
        self._unanswered_pings = 0
        return self._established(message, now=now)

    def _opened(self, token: bytes, *, now: float) -> list:
        if self.token:
            if token != self.token:
                # A repeated OPEN got a second holder; it need not wait in vain.
                self._send(Close(flow=self.flow, token=token))
            return []
        self.token = token
        self._ping_due = now + PING_SECONDS
        return [FlowOpened()]

    def _established(self, message, *, now: float) -> list:
        match message:
            case Progress() | AnswerPart() | Verdict():
                return self._for_transfer(message, now=now)
            case Item():
                return self._item(message, now=now)
            case StreamEnd():
                return self._stream_end(message, now=now)
            case Move():
                if self.is_moving:
                    return []
                self.is_moving = True
                return [MoveAsked()]
            case Pong():
                return []
        self.dropped += 1
        return []

    def _for_transfer(self, message, *, now: float) -> list:
        transfer = self._transfers_by_request.get(message.request)
        if transfer is None:
            # Late, or of a request that was given up: nobody waits for it.
            self.dropped += 1
            return []
        match message:
            case Progress():
                self._send(*transfer.progress(message, acked=self.acked, now=now))
            case AnswerPart():
                self._send(*transfer.answer(message, acked=self.acked, now=now))
            case Verdict():
                transfer.verdict(message)
        return self._ended(message.request)

    def _ended(self, number: int) -> list:
        outcome = self._transfers_by_request[number].outcome
        if outcome is None:
            return []
        del self._transfers_by_request[number]
        self._send(Ping(flow=self.flow, token=self.token, acked=self.acked))
        return [RequestEnded(request=number, outcome=outcome)]

    def _item(self, message: Item, *, now: float) -> list:
        stream = self._streams_by_request.get(message.request)
        if stream is None:
            self.dropped += 1
            return []
        stream.has_begun = True
        stream.due = now + STREAM_PING_SECONDS
        if message.number > stream.taken and (
            message.previous == stream.taken
            or len(stream.held_by_previous) < MAX_HELD_ITEMS
        ):
            stream.held_by_previous[message.previous] = message
        items = []
        while stream.taken in stream.held_by_previous:
            item = stream.held_by_previous.pop(stream.taken)
            stream.taken = item.number
            items.append((item.number, item.body))
        self._send(self._ack(message.request, stream))
        events: list = []
        if items:
            events.append(ItemsReady(request=message.request, items=tuple(items)))
        return events + self._finish_stream(message.request)

    def _stream_end(self, message: StreamEnd, *, now: float) -> list:
        stream = self._streams_by_request.get(message.request)
        if stream is None:
            self.dropped += 1
            return []
        stream.end = message
        return self._finish_stream(message.request)

    def _finish_stream(self, number: int) -> list:
        """End a stream once every item up to its end has been taken."""
        stream = self._streams_by_request[number]
        if stream.end is None or stream.taken < stream.end.last:
            return []
        self.close_stream(number)
        return [
            StreamEnded(
                request=number, reason=stream.end.reason, reopen=stream.end.reopen
            )
        ]

    def _lose(self) -> list:
        events: list = []
        for number, transfer in list(self._transfers_by_request.items()):
            transfer.lost()
            events.append(RequestEnded(request=number, outcome=transfer.outcome))
        for number in self._streams_by_request:
            events.append(StreamEnded(request=number, reason="flow lost", reopen=True))
        self._transfers_by_request.clear()
        self._streams_by_request.clear()
        self.is_closed = True
        return [*events, FlowLostEvent()]

    def _ack(self, number: int, stream: _StreamIn) -> StreamAck:
        return StreamAck(
            flow=self.flow, token=self.token, request=number, up_to=stream.taken
        )

    def _take_number(self) -> int:
        number = self._next_request
        self._next_request += 1
        return number

    def _send(self, *messages) -> None:
        self.outbox += [caller_codec.encode(message) for message in messages]
