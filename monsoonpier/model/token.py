"""The flow token, which names the agent instance that owns a flow."""

import msgspec

from monsoonpier.model.keys import TOKEN, KeyRing

__all__ = ["FlowToken", "open_token", "seal_token"]

MAX_TOKEN_BYTES = 160


class FlowToken(msgspec.Struct, frozen=True, kw_only=True, array_like=True, gc=False):
    """The service, address and instance of the agent that owns a flow.

    Attributes:
        service: The service that the flow is for.
        ip: The agent's IP address.
        port: The agent's UDP port.
        instance: Identifies the agent's instance.
        opening: Distinguishes openings of the same flow id at this instance,
            since a delayed OPEN or request may arrive long after its flow was
            closed.
    """

    service: str
    ip: str
    port: int
    instance: bytes
    opening: int = 0

    @property
    def endpoint(self) -> tuple[str, int]:
        """The agent's UDP address in the form that sockets take."""
        return (self.ip, self.port)

    def with_opening(self, opening: int) -> "FlowToken":
        """Return a copy that identifies another opening of the flow."""
        return msgspec.structs.replace(self, opening=opening)


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(FlowToken).decode


def seal_token(token: FlowToken, *, flow: bytes, keys: KeyRing) -> bytes:
    """Return the signed token, valid only for this flow id (16 bytes)."""
    return keys.seal(_encode(token), purpose=TOKEN, bound_to=flow)


def open_token(sealed: bytes, *, flow: bytes, keys: KeyRing) -> FlowToken | None:
    """Return the token, or ``None`` if it is invalid or for another flow."""
    body = keys.unseal(sealed, purpose=TOKEN, bound_to=flow)
    if body is None:
        return None
    try:
        return _decode(body)
    except msgspec.MsgspecError:
        return None
