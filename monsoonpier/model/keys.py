"""Message authentication with keys that rotate: keyed BLAKE2."""

from dataclasses import dataclass, field
from functools import cached_property
from hashlib import blake2b
from hmac import compare_digest

__all__ = ["FRAME", "TOKEN", "Key", "KeyRing"]

MAC_BYTES = 16
HEADER_BYTES = 1 + MAC_BYTES

# A MAC made for one purpose must not pass for the other.
TOKEN = b"mp-token"
FRAME = b"mp-frame"


@dataclass(frozen=True, slots=True, kw_only=True)
class Key:
    """A shared secret and the number (0 to 255) that names it in messages."""

    id: int
    secret: bytes = field(repr=False)


@dataclass(frozen=True, kw_only=True)
class KeyRing:
    """The keys in force: the first one seals, each of them opens."""

    keys: tuple[Key, ...] = field(repr=False)

    @cached_property
    def _states_by_purpose(self) -> dict:
        # Copying a prepared state spares hashing the key for each message.
        return {
            purpose: {
                key.id: blake2b(key=key.secret, digest_size=MAC_BYTES, person=purpose)
                for key in self.keys
            }
            for purpose in (TOKEN, FRAME)
        }

    @cached_property
    def _key_byte(self) -> bytes:
        return bytes((self.keys[0].id,))

    def seal(self, body: bytes, *, purpose: bytes, bound_to: bytes = b"") -> bytes:
        """Return the key's number, the MAC and ``body``, in this order.

        ``bound_to`` goes into the MAC only; it must have the same length in
        every message of a purpose.
        """
        state = self._states_by_purpose[purpose][self.keys[0].id].copy()
        state.update(bound_to + body)
        return self._key_byte + state.digest() + body

    def unseal(
        self, sealed: bytes, *, purpose: bytes, bound_to: bytes = b""
    ) -> bytes | None:
        """Return the body if its MAC holds under a key in force, else ``None``."""
        if len(sealed) <= HEADER_BYTES:
            return None
        state = self._states_by_purpose[purpose].get(sealed[0])
        if state is None:
            return None
        state = state.copy()
        body = sealed[HEADER_BYTES:]
        state.update(bound_to + body)
        if not compare_digest(state.digest(), sealed[1:HEADER_BYTES]):
            return None
        return body
