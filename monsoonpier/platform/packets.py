"""Decoding of the platform's packet header into `Packet`."""

import struct
from functools import lru_cache
from socket import inet_ntoa

from monsoonpier.model.address import Address
from monsoonpier.wire.codec import Dropped
from monsoonpier.wire.packet import Packet

__all__ = ["PlatformPackets"]

# flags, echo, len, seq, ack, src, dst, sport, dport, sum. ``sum`` needs a key and
# can't be checked here; balancers may write ``echo`` but do not use it.
_HEADER = struct.Struct("!BIHII4s4sHHI")
_FLAGS_OFFSET = 0
MAX_DATA_BYTES = 1_200
MAX_CACHED_ADDRESSES = 4_096  # size of each cache

# A flow carries HTTP/1.1. A response begins with its status line, and status 5xx
# is a failure of the target.
_RESPONSE_START = b"HTTP/1."
_STATUS_OFFSET = _HEADER.size + len(b"HTTP/1.1 ")
_FAILURE_START = b"5"

# Seconds from a caller's first SYN to its n-th retransmission, from n = 0.
_SYN_SECONDS = (0.0, 0.2, 0.6)

_SYN = 32
_ACK = 1
_FIN = 16
_RST = 64
_BOUNCED = 4


class PlatformPackets:
    """Implements `PacketCodec` for the platform's header of 31 bytes."""

    def decode(self, data: bytes, *, from_target: bool) -> Packet | Dropped:
        """Return the packet in ``data``, or the reason why it is dropped."""
        if len(data) < _HEADER.size:
            return Dropped(reason="truncated")
        fields = _HEADER.unpack_from(data)
        flags, _, size, sequence, acknowledged, src, dst, sport, dport, _ = fields
        if size > MAX_DATA_BYTES or len(data) != _HEADER.size + size:
            return Dropped(reason="size")
        is_returned = bool(flags & _BOUNCED)
        if is_returned:
            data = bytes((flags & ~_BOUNCED,)) + data[1:]
        # A returned packet keeps its caller as its source.
        if from_target and not is_returned:
            src, dst, sport, dport = dst, src, dport, sport
        return Packet(
            raw=data,
            flow=src + dst + sport.to_bytes(2, "big") + dport.to_bytes(2, "big"),
            caller_ip=_ip(src),
            service_address=_address(dst, dport),
            sequence=sequence,
            acknowledged=acknowledged,
            size=size,
            is_syn=bool(flags & _SYN),
            is_ack=bool(flags & _ACK),
            is_fin=bool(flags & _FIN),
            is_reset=bool(flags & _RST),
            is_returned=is_returned,
            is_failure=from_target and _is_failure(data),
            waited=_seconds_since_first_syn(acknowledged)
            if flags & _SYN and not flags & _ACK
            else 0.0,
        )

    def reset(self, flow: bytes, *, acknowledged: int) -> bytes:
        """Return a reset packet from the flow's service to its caller."""
        caller, service = flow[0:4], flow[4:8]
        caller_port = int.from_bytes(flow[8:10], "big")
        service_port = int.from_bytes(flow[10:12], "big")
        return _HEADER.pack(
            _RST, 0, 0, acknowledged, 0, service, caller, service_port, caller_port, 0
        )


def _is_failure(data: bytes) -> bool:
    is_response = data.startswith(_RESPONSE_START, _HEADER.size)
    return is_response and data.startswith(_FAILURE_START, _STATUS_OFFSET)


def _seconds_since_first_syn(retransmission: int) -> float:
    """Return the caller's wait; a SYN's ``ack`` field counts its retransmissions."""
    return _SYN_SECONDS[min(retransmission, len(_SYN_SECONDS) - 1)]


@lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def _ip(raw: bytes) -> str:
    return inet_ntoa(raw)


@lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def _address(raw: bytes, port: int) -> Address:
    return Address(ip=inet_ntoa(raw), port=port)
