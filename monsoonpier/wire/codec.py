"""Decoding that never raises: a message, or the reason why it was dropped."""

from dataclasses import dataclass
from typing import Annotated, Any

import msgspec

__all__ = ["Codec", "Dropped", "FlowId", "Name", "Short"]

PROTOCOL_VERSION = 1
FLOW_ID_BYTES = 16

FlowId = Annotated[
    bytes, msgspec.Meta(min_length=FLOW_ID_BYTES, max_length=FLOW_ID_BYTES)
]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
MAX_REASON = 120  # characters
Short = Annotated[str, msgspec.Meta(max_length=MAX_REASON)]


@dataclass(frozen=True, slots=True, kw_only=True)
class Dropped:
    """A datagram that was not used; ``reason`` labels the drop counter."""

    reason: str


class Codec:
    """Encodes and decodes the messages of one conversation.

    A datagram is the protocol's version in one byte and then the message in
    MessagePack.
    """

    def __init__(self, *, messages: Any, max_bytes: int) -> None:
        self._encode = msgspec.msgpack.Encoder().encode
        self._decode = msgspec.msgpack.Decoder(messages).decode
        self._max_bytes = max_bytes
        self._prefix = bytes((PROTOCOL_VERSION,))

    def encode(self, message: msgspec.Struct) -> bytes:
        """Return the message's datagram."""
        return self._prefix + self._encode(message)

    def decode(self, data: bytes) -> Any:
        """Return the message in ``data``, or a `Dropped` that says why not."""
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
