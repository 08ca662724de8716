"""One end of a reliable byte stream over packets."""

from dataclasses import dataclass, field

from standins.packets.wire import ACK, FIN, MAX_DATA, Segment

__all__ = ["Stream"]

WINDOW = 16  # packets in flight
FIRST_RESEND_SECONDS = 0.2
MAX_RESEND_SECONDS = 1.6
SEQUENCE_MODULUS = 1 << 32


@dataclass(slots=True, kw_only=True)
class Stream:
    """Sends and receives on an open flow; does no I/O and reads no clock.

    Attributes:
        own, peer: Both ends as (ip, port).
        next_sequence: Sequence number after all data queued so far.
        expected_sequence: Next sequence number expected from the peer.
        inbox: Data received in order and not yet consumed.
        has_peer_fin: Whether the peer has closed its direction.
        has_fin: Whether this end has closed its direction.
        resends: Retransmissions since the last acknowledgement of new data.
    """

    own: tuple[str, int]
    peer: tuple[str, int]
    next_sequence: int
    expected_sequence: int
    inbox: bytearray = field(default_factory=bytearray)
    has_peer_fin: bool = False
    has_fin: bool = False
    _unsent: list[Segment] = field(default_factory=list)
    _in_flight: list[Segment] = field(default_factory=list)
    _out_of_order: dict[int, Segment] = field(default_factory=dict)
    _resend_at: float = 0.0
    _resend_seconds: float = FIRST_RESEND_SECONDS
    resends: int = 0

    def send(self, data: bytes, *, now: float, fin: bool = False) -> list[Segment]:
        """Queue data and return the packets to send now."""
        for start in range(0, len(data), MAX_DATA):
            self._queue(data[start : start + MAX_DATA], 0)
        if fin:
            self.has_fin = True
            self._queue(b"", FIN)
        return self._send_queued(now=now)

    def _queue(self, data: bytes, flags: int) -> None:
        segment = Segment(
            flags=ACK | flags,
            source=self.own,
            destination=self.peer,
            sequence=self.next_sequence,
            data=data,
        )
        self._unsent.append(segment)
        self.next_sequence = (self.next_sequence + _length(segment)) % SEQUENCE_MODULUS

    def _send_queued(self, *, now: float) -> list[Segment]:
        """Return the queued packets that the window permits to send."""
        out = []
        while self._unsent and len(self._in_flight) < WINDOW:
            segment = self._unsent.pop(0)
            if not self._in_flight:
                self._resend_at = now + self._resend_seconds
            self._in_flight.append(segment)
            out.append(self._with_acknowledgement(segment))
        return out

    def receive(self, segment: Segment, *, now: float) -> list[Segment]:
        """Process a packet from the peer; return the packets to send now."""
        before = len(self._in_flight)
        self._in_flight = [s for s in self._in_flight if not _acknowledges(segment, s)]
        if len(self._in_flight) < before:
            self._resend_seconds = FIRST_RESEND_SECONDS
            self._resend_at = now + self._resend_seconds
            self.resends = 0
        out = self._send_queued(now=now)
        if _length(segment):
            self._out_of_order.setdefault(segment.sequence, segment)
            while (
                following := self._out_of_order.pop(self.expected_sequence, None)
            ) is not None:
                self.inbox += following.data
                self.expected_sequence = (
                    self.expected_sequence + _length(following)
                ) % SEQUENCE_MODULUS
                self.has_peer_fin |= bool(following.flags & FIN)
            if not out:
                out.append(self._acknowledgement())
        return out

    def resend(self, *, now: float) -> list[Segment]:
        """Return all unacknowledged packets if the retransmission timer has expired."""
        if not self._in_flight or now < self._resend_at:
            return []
        self.resends += 1
        self._resend_seconds = min(MAX_RESEND_SECONDS, self._resend_seconds * 2)
        self._resend_at = now + self._resend_seconds
        return [self._with_acknowledgement(segment) for segment in self._in_flight]

    def _with_acknowledgement(self, segment: Segment) -> Segment:
        return Segment(
            flags=segment.flags,
            source=segment.source,
            destination=segment.destination,
            sequence=segment.sequence,
            acknowledged=self.expected_sequence,
            data=segment.data,
        )

    def _acknowledgement(self) -> Segment:
        return Segment(
            flags=ACK,
            source=self.own,
            destination=self.peer,
            sequence=self.next_sequence,
            acknowledged=self.expected_sequence,
        )


def _length(segment: Segment) -> int:
    return len(segment.data) + int(bool(segment.flags & FIN))


def _acknowledges(segment: Segment, sent: Segment) -> bool:
    distance = segment.acknowledged - (sent.sequence + _length(sent))
    return distance % SEQUENCE_MODULUS < SEQUENCE_MODULUS // 2
