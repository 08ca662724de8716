"""Packets of a flow as PROTOCOL.md ("Packets") lays them out, and one end of a flow.

Written for the review from the users' page alone.
"""

import struct
import zlib
from collections import namedtuple
from ipaddress import IPv4Address

SYN, ACK, FIN, RST, BOUNCED = 32, 1, 16, 64, 4
MAX_DATA = 1_200
WINDOW = 16
_HEAD = struct.Struct("!BIHIIIIHHI")
_MASK = 0xFFFFFFFF

# ``src`` and ``dst`` are (ip, port).
Packet = namedtuple("Packet", "flags src dst seq ack data is_own_reset")


def _sum(flags, src, dst, seq, ack, data):
    text = f"key {flags & ~BOUNCED} {src} {dst} {seq} {ack} {len(data)} "
    return zlib.crc32(text.encode() + data) or 1


def encode(flags, src, dst, seq, ack, data=b""):
    return (
        _HEAD.pack(
            flags,
            0,
            len(data),
            seq & _MASK,
            ack & _MASK,
            int(IPv4Address(src[0])),
            int(IPv4Address(dst[0])),
            src[1],
            dst[1],
            _sum(flags, src, dst, seq & _MASK, ack & _MASK, data),
        )
        + data
    )


def decode(raw):
    """Return the packet, or ``None`` if its sender didn't write it so."""
    if len(raw) < _HEAD.size:
        return None
    flags, _, size, seq, ack, src, dst, sport, dport, total = _HEAD.unpack_from(raw)
    data = raw[_HEAD.size :]
    src, dst = (str(IPv4Address(src)), sport), (str(IPv4Address(dst)), dport)
    is_own_reset = flags == RST and total == 0 and not data
    if not is_own_reset and total != _sum(flags, src, dst, seq, ack, data):
        return None
    if len(data) != size:
        return None
    return Packet(flags, src, dst, seq, ack, data, is_own_reset)


class End:
    """One end of an open flow: sends in order, retransmits, receives in order."""

    def __init__(self, own, peer, next_seq, expected, send):
        self.own, self.peer = own, peer
        self.next_seq = next_seq & _MASK
        self.expected = expected & _MASK
        self.inbox = bytearray()
        self.has_peer_fin = False
        self.has_fin = False
        self.resends = 0
        self._send = send
        self._queue = []  # (seq, length, flags, data) not sent yet
        self._flying = []
        self._later = {}
        self._due = 0.0
        self._wait = 0.2

    def write(self, data, now, fin=False):
        parts = [data[i : i + MAX_DATA] for i in range(0, len(data), MAX_DATA)]
        for part in parts:
            self._push(part, ACK)
        if fin and not self.has_fin:
            self.has_fin = True
            self._push(b"", ACK | FIN)
        self._flush(now)

    def _push(self, data, flags):
        length = len(data) + (1 if flags & FIN else 0)
        self._queue.append((self.next_seq, length, flags, data))
        self.next_seq = (self.next_seq + length) & _MASK

    def _flush(self, now):
        while self._queue and len(self._flying) < WINDOW:
            if not self._flying:
                self._due = now + self._wait
            item = self._queue.pop(0)
            self._flying.append(item)
            self._emit(item)

    def _emit(self, item):
        seq, _, flags, data = item
        self._send(encode(flags, self.own, self.peer, seq, self.expected, data))

    def acknowledge(self):
        self._send(encode(ACK, self.own, self.peer, self.next_seq, self.expected))

    def take(self, packet, now):
        before = len(self._flying)
        self._flying = [
            item
            for item in self._flying
            if (packet.ack - (item[0] + item[1])) & _MASK >= 1 << 31
        ]
        if len(self._flying) < before:
            self._wait, self.resends = 0.2, 0
            self._due = now + self._wait
        self._flush(now)
        length = len(packet.data) + (1 if packet.flags & FIN else 0)
        if not length:
            return
        if (packet.seq - self.expected) & _MASK < 1 << 31:
            self._later.setdefault(packet.seq, packet)
        while (found := self._later.pop(self.expected, None)) is not None:
            self.inbox += found.data
            self.has_peer_fin |= bool(found.flags & FIN)
            grown = len(found.data) + (1 if found.flags & FIN else 0)
            self.expected = (self.expected + grown) & _MASK
        self.acknowledge()

    def tick(self, now):
        if not self._flying or now < self._due:
            return
        self.resends += 1
        self._wait = min(1.6, self._wait * 2)
        self._due = now + self._wait
        for item in self._flying:
            self._emit(item)

    @property
    def is_ended(self):
        return self.has_fin and self.has_peer_fin and not self._flying
