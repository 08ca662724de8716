"""Message authentication codes with rotating keys, by keyed BLAKE2."""

from dataclasses import dataclass, field
from functools import cached_property
from hashlib import blake2b
from hmac import compare_digest

__all__ = ["FRAME", "TOKEN", "Key", "KeyRing"]

MAC_BYTES = 16
HEADER_BYTES = 1 + MAC_BYTES

# Purposes: a MAC made for one must not be valid for the other.
TOKEN = b"mp-token"
FRAME = b"mp-frame"


@dataclass(frozen=True, slots=True, kw_only=True)
class Key:
    """A shared secret and its id (0 to 255), which messages contain."""

    id: int
    secret: bytes = field(repr=False)


@dataclass(frozen=True, kw_only=True)
class KeyRing:
    """The valid keys: the first one signs messages, and all of them verify."""

    keys: tuple[Key, ...] = field(repr=False)

    @cached_property
    def _hash_states_by_purpose(self) -> dict:
        """Keyed hash states, by purpose and key id.

        Copying such a state is faster than hashing the key for each message.
        """
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
        """Return the key's id, the MAC and ``body``, in this order.

        ``bound_to`` is covered by the MAC but not contained in the result. It
        must have the same length in all messages of a purpose.
        """
        state = self._hash_states_by_purpose[purpose][self.keys[0].id].copy()
        state.update(bound_to + body)
        return self._key_byte + state.digest() + body

    def unseal(
        self, sealed: bytes, *, purpose: bytes, bound_to: bytes = b""
    ) -> bytes | None:
        """Return the body if a key of the ring verifies its MAC, else ``None``."""
        if len(sealed) <= HEADER_BYTES:
            return None
        state = self._hash_states_by_purpose[purpose].get(sealed[0])
        if state is None:
            return None
        state = state.copy()
        body = sealed[HEADER_BYTES:]
        state.update(bound_to + body)
        if not compare_digest(state.digest(), sealed[1:HEADER_BYTES]):
            return None
        return body
