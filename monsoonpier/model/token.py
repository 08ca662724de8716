"""The holder token: names the agent instance that holds a flow."""

import msgspec

from monsoonpier.model.keys import TOKEN, KeyRing

__all__ = ["HolderToken", "open_token", "seal_token"]

MAX_TOKEN_BYTES = 160


class HolderToken(msgspec.Struct, frozen=True, kw_only=True, array_like=True, gc=False):
    """The service, address and instance of the agent that holds a flow.

    ``opening`` tells one opening of a flow id from another at that instance:
    a balancer that was paused may deliver an old OPEN, and then old requests,
    long after the flow was closed.
    """

    service: str
    ip: str
    port: int
    instance: bytes
    opening: int = 0

    @property
    def endpoint(self) -> tuple[str, int]:
        """The agent's UDP address as sockets take it."""
        return (self.ip, self.port)

    def with_opening(self, opening: int) -> "HolderToken":
        """Return a copy for that opening of a flow."""
        return msgspec.structs.replace(self, opening=opening)


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(HolderToken).decode


def seal_token(token: HolderToken, *, flow: bytes, keys: KeyRing) -> bytes:
    """Return the token's bytes, valid for this flow (16 bytes) only."""
    return keys.seal(_encode(token), purpose=TOKEN, bound_to=flow)


def open_token(sealed: bytes, *, flow: bytes, keys: KeyRing) -> HolderToken | None:
    """Return the token, or ``None`` if it is forged or of another flow."""
    body = keys.unseal(sealed, purpose=TOKEN, bound_to=flow)
    if body is None:
        return None
    try:
        return _decode(body)
    except msgspec.MsgspecError:
        return None
