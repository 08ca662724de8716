"""One end of a flow: bytes in order, resent until acknowledged."""

from dataclasses import dataclass, field

from standins.packets.wire import ACK, FIN, MAX_DATA, Segment

__all__ = ["Stream"]

WINDOW = 16
FIRST_RESEND_SECONDS = 0.2
MOST_RESEND_SECONDS = 1.6
SPACE = 1 << 32


@dataclass(slots=True, kw_only=True)
class Stream:
    """Sends and receives on an open flow; time is an argument.

    Attributes:
        own, peer: The ends as (ip, port).
        sent: The next sequence of this end.
        received: The next sequence expected of the peer.
        inbox: What has arrived in order and was not taken yet.
    """

    own: tuple[str, int]
    peer: tuple[str, int]
    sent: int
    received: int
    inbox: bytearray = field(default_factory=bytearray)
    has_peer_fin: bool = False
    has_fin: bool = False
    _waiting: list[Segment] = field(default_factory=list)
    _flying: list[Segment] = field(default_factory=list)
    _early: dict[int, Segment] = field(default_factory=dict)
    _resend_at: float = 0.0
    _resend_seconds: float = FIRST_RESEND_SECONDS
    resends: int = 0

    def send(self, data: bytes, *, now: float, fin: bool = False) -> list[Segment]:
        """Queue data and return what may go out now."""
        for start in range(0, len(data), MAX_DATA):
            self._queue(data[start : start + MAX_DATA], 0)
        if fin:
            self.has_fin = True
            self._queue(b"", FIN)
        return self._fill(now=now)

    def _queue(self, data: bytes, flags: int) -> None:
        segment = Segment(
            flags=ACK | flags,
            source=self.own,
            destination=self.peer,
            sequence=self.sent,
            data=data,
        )
        self._waiting.append(segment)
        self.sent = (self.sent + _length(segment)) % SPACE

    def _fill(self, *, now: float) -> list[Segment]:
        out = []
        while self._waiting and len(self._flying) < WINDOW:
            segment = self._waiting.pop(0)
            if not self._flying:
                self._resend_at = now + self._resend_seconds
            self._flying.append(segment)
            out.append(self._fresh(segment))
        return out

    def receive(self, segment: Segment, *, now: float) -> list[Segment]:
        """Take a packet of the peer; return what goes out in answer."""
        before = len(self._flying)
        self._flying = [s for s in self._flying if not _covers(segment, s)]
        if len(self._flying) < before:
            self._resend_seconds = FIRST_RESEND_SECONDS
            self._resend_at = now + self._resend_seconds
            self.resends = 0
        out = self._fill(now=now)
        if _length(segment):
            self._early.setdefault(segment.sequence, segment)
            while (following := self._early.pop(self.received, None)) is not None:
                self.inbox += following.data
                self.received = (self.received + _length(following)) % SPACE
                self.has_peer_fin |= bool(following.flags & FIN)
            if not out:
                out.append(self._acknowledgement())
        return out

    def resend(self, *, now: float) -> list[Segment]:
        """Return the packets whose time to be sent again has come."""
        if not self._flying or now < self._resend_at:
            return []
        self.resends += 1
        self._resend_seconds = min(MOST_RESEND_SECONDS, self._resend_seconds * 2)
        self._resend_at = now + self._resend_seconds
        return [self._fresh(segment) for segment in self._flying]

    def _fresh(self, segment: Segment) -> Segment:
        return Segment(
            flags=segment.flags,
            source=segment.source,
            destination=segment.destination,
            sequence=segment.sequence,
            acknowledged=self.received,
            data=segment.data,
        )

    def _acknowledgement(self) -> Segment:
        return Segment(
            flags=ACK,
            source=self.own,
            destination=self.peer,
            sequence=self.sent,
            acknowledged=self.received,
        )


def _length(segment: Segment) -> int:
    return len(segment.data) + int(bool(segment.flags & FIN))


def _covers(segment: Segment, sent: Segment) -> bool:
    distance = segment.acknowledged - (sent.sequence + _length(sent))
    return distance % SPACE < SPACE // 2
