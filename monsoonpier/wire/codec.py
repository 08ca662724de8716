"""Message codec whose decoder reports bad input instead of raising."""

from dataclasses import dataclass
from typing import Annotated, Any

import msgspec

__all__ = ["Codec", "Dropped", "FlowId", "Name", "Reason"]

PROTOCOL_VERSION = 1
FLOW_ID_BYTES = 16

FlowId = Annotated[
    bytes, msgspec.Meta(min_length=FLOW_ID_BYTES, max_length=FLOW_ID_BYTES)
]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
MAX_REASON = 120  # characters
Reason = Annotated[str, msgspec.Meta(max_length=MAX_REASON)]


@dataclass(frozen=True, slots=True, kw_only=True)
class Dropped:
    """The result for a datagram that can't be decoded.

    ``reason`` labels the counter of dropped datagrams.
    """

    reason: str


class Codec:
    """Encodes and decodes the messages of one protocol.

    A datagram is one byte with the protocol version, followed by the message in
    MessagePack.
    """

    def __init__(self, *, messages: Any, max_bytes: int) -> None:
        self._encode = msgspec.msgpack.Encoder().encode
        self._decode = msgspec.msgpack.Decoder(messages).decode
        self._max_bytes = max_bytes
        self._prefix = bytes((PROTOCOL_VERSION,))

    def encode(self, message: msgspec.Struct) -> bytes:
        """Return the datagram for a message."""
        return self._prefix + self._encode(message)

    def decode(self, data: bytes) -> Any:
        """Return the message in ``data``, or a `Dropped` with the reason."""
        if len(data) > self._max_bytes:
            return Dropped(reason="oversized")
        if len(data) < 2:
            return Dropped(reason="truncated")
        if data[0] != PROTOCOL_VERSION:
            return Dropped(reason="version")
        try:
            return self._decode(memoryview(data)[1:])
        except msgspec.ValidationError:
            return Dropped(reason="invalid")
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            return Dropped(reason="malformed")
