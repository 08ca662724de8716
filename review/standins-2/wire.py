"""Packets as PROTOCOL.md gives them, and one end of a flow's byte stream."""

import hashlib
import struct
from dataclasses import dataclass
from socket import inet_aton, inet_ntoa

ACK, BOUNCED, FIN, SYN, RST = 1, 4, 16, 32, 64
HEADER = struct.Struct("!BIHII4s4sHHI")
MAX_DATA = 1_200
SPACE = 1 << 32
WINDOW = 16  # packets in flight
FIRST_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 1.6
ACK_DELAY_SECONDS = 0.02  # for a packet that no second one follows
SUM_KEY = b"known to clients and hosts only"

Endpoint = tuple[str, int]


@dataclass(frozen=True, kw_only=True)
class Packet:
    """One packet; `raw` is the datagram as it was received."""

    flags: int
    src: Endpoint
    dst: Endpoint
    seq: int = 0
    ack: int = 0
    data: bytes = b""
    sum: int = 0
    echo: int = 0
    raw: bytes = b""

    @property
    def key(self) -> tuple[Endpoint, Endpoint]:
        return (self.src, self.dst)

    @property
    def is_written_by_sender(self) -> bool:
        return self.sum == checksum(self)

    @property
    def is_system_reset(self) -> bool:
        return self.flags == RST and not self.data and self.sum == 0


def checksum(packet: Packet) -> int:
    """Return the keyed sum over all fields but echo, pad and BOUNCED."""
    fields = HEADER.pack(
        packet.flags & ~BOUNCED,
        0,
        len(packet.data),
        packet.seq,
        packet.ack,
        inet_aton(packet.src[0]),
        inet_aton(packet.dst[0]),
        packet.src[1],
        packet.dst[1],
        0,
    )
    digest = hashlib.blake2b(fields + packet.data, key=SUM_KEY, digest_size=4)
    return int.from_bytes(digest.digest(), "big") or 1


def encode(packet: Packet) -> bytes:
    """Return the datagram of a packet of a client or host."""
    return (
        HEADER.pack(
            packet.flags,
            0,
            len(packet.data),
            packet.seq,
            packet.ack,
            inet_aton(packet.src[0]),
            inet_aton(packet.dst[0]),
            packet.src[1],
            packet.dst[1],
            checksum(packet),
        )
        + packet.data
    )


def decode(raw: bytes) -> Packet:
    flags, echo, size, seq, ack, src, dst, sport, dport, total = HEADER.unpack_from(raw)
    return Packet(
        flags=flags,
        src=(inet_ntoa(src), sport),
        dst=(inet_ntoa(dst), dport),
        seq=seq,
        ack=ack,
        data=raw[HEADER.size : HEADER.size + size],
        sum=total,
        echo=echo,
        raw=raw,
    )


class Stream:
    """One end of an open flow: retransmits, orders and acknowledges. Does no I/O."""

    def __init__(self, *, own: Endpoint, peer: Endpoint, seq: int, expected: int):
        self.own, self.peer = own, peer
        self.next_seq = seq
        self.expected = expected
        self.inbox = bytearray()
        self.has_fin = False
        self.has_peer_fin = False
        self._unsent: list[Packet] = []
        self._in_flight: list[Packet] = []
        self._early: dict[int, Packet] = {}
        self._retry_at = 0.0
        self._retry_seconds = FIRST_RETRY_SECONDS
        self._unacknowledged = 0
        self._acknowledge_at: float | None = None

    def send(self, data: bytes, *, now: float, fin: bool = False) -> list[Packet]:
        """Queue data; return the packets to send now."""
        parts = [data[i : i + MAX_DATA] for i in range(0, len(data), MAX_DATA)]
        for part in parts:
            self._queue(part, 0)
        if fin and not self.has_fin:
            self.has_fin = True
            self._queue(b"", FIN)
        return self._fill_window(now=now)

    def receive(self, packet: Packet, *, now: float) -> list[Packet]:
        """Take a packet of the peer; return the packets to send now."""
        before = len(self._in_flight)
        self._in_flight = [p for p in self._in_flight if not _is_acked(p, packet.ack)]
        if len(self._in_flight) < before:
            self._retry_seconds = FIRST_RETRY_SECONDS
            self._retry_at = now + self._retry_seconds
        out = self._fill_window(now=now)
        if not _length(packet):
            return out
        if (packet.seq - self.expected) % SPACE < SPACE // 2:
            self._early.setdefault(packet.seq, packet)
        while (part := self._early.pop(self.expected, None)) is not None:
            self.inbox += part.data
            self.has_peer_fin |= bool(part.flags & FIN)
            self.expected = (self.expected + _length(part)) % SPACE
        self._unacknowledged += 1
        is_repeated = not out and (packet.seq - self.expected) % SPACE >= SPACE // 2
        if self._unacknowledged >= 2 or packet.flags & FIN or is_repeated:
            out = out or [self._bare_ack()]
        if out:
            self._unacknowledged, self._acknowledge_at = 0, None
        else:
            self._acknowledge_at = now + ACK_DELAY_SECONDS
        return out

    def due(self, *, now: float) -> list[Packet]:
        """Return retransmissions and late acknowledgements."""
        out: list[Packet] = []
        if self._in_flight and now >= self._retry_at:
            self._retry_seconds = min(MAX_RETRY_SECONDS, 2 * self._retry_seconds)
            self._retry_at = now + self._retry_seconds
            out += [self._current(p) for p in self._in_flight]
        if self._acknowledge_at is not None and now >= self._acknowledge_at:
            self._unacknowledged, self._acknowledge_at = 0, None
            out = out or [self._bare_ack()]
        return out

    def _queue(self, data: bytes, flags: int) -> None:
        packet = Packet(
            flags=ACK | flags, src=self.own, dst=self.peer, seq=self.next_seq, data=data
        )
        self._unsent.append(packet)
        self.next_seq = (self.next_seq + _length(packet)) % SPACE

    def _fill_window(self, *, now: float) -> list[Packet]:
        out = []
        while self._unsent and len(self._in_flight) < WINDOW:
            if not self._in_flight:
                self._retry_at = now + self._retry_seconds
            self._in_flight.append(self._unsent.pop(0))
            out.append(self._current(self._in_flight[-1]))
        return out

    def _current(self, packet: Packet) -> Packet:
        return Packet(
            flags=packet.flags,
            src=packet.src,
            dst=packet.dst,
            seq=packet.seq,
            ack=self.expected,
            data=packet.data,
        )

    def _bare_ack(self) -> Packet:
        return Packet(
            flags=ACK, src=self.own, dst=self.peer, seq=self.next_seq, ack=self.expected
        )


def _length(packet: Packet) -> int:
    return len(packet.data) + int(bool(packet.flags & FIN))


def _is_acked(packet: Packet, ack: int) -> bool:
    return (ack - packet.seq - _length(packet)) % SPACE < SPACE // 2
