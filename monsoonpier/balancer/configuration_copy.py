"""A compact copy of the configuration in the store, for starting balancers.

It shortens a restart of all balancers at once, for example after a power failure:
the copy is much smaller than the operators' value.
"""

import msgspec

from monsoonpier.model.keys import FRAME, KeyRing
from monsoonpier.model.revision import NO_REVISION
from monsoonpier.store.interface import Compare, Put, Store
from monsoonpier.store.keys import CONFIGURATION_COPY

__all__ = [
    "MAX_COPY_BYTES",
    "ConfigurationCopies",
    "ConfigurationCopy",
    "decode_copy",
    "encode_copy",
]

MAX_COPY_BYTES = 1_000_000  # any supported store accepts a value of this size


class ConfigurationCopy(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A configuration that a balancer has stored for others.

    Attributes:
        version: The version of the configuration.
        packed: The operators' value, compressed as for peers.
    """

    version: int
    packed: bytes


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(ConfigurationCopy).decode


def encode_copy(copy: ConfigurationCopy, *, keys: KeyRing) -> bytes:
    """Return the value to store: the encoded copy with its MAC."""
    return keys.seal(_encode(copy), purpose=FRAME)


def decode_copy(data: bytes, *, keys: KeyRing) -> ConfigurationCopy | None:
    """Return the copy in a stored value; ``None`` if its MAC or format is wrong."""
    body = keys.unseal(data, purpose=FRAME)
    if body is None:
        return None
    try:
        return _decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


class ConfigurationCopies:
    """Reads and replaces the copy in the store.

    Args:
        store: The platform's key-value service.
        keys: Authenticate the copy.
    """

    def __init__(self, *, store: Store, keys: KeyRing) -> None:
        self._store = store
        self._keys = keys
        self._mod_revision = NO_REVISION
        self._version = 0
        self._may_be_lost = False

    def assume_lost(self) -> None:
        """Assume that the store has lost the copy.

        This also voids the result of a write that is in flight.
        """
        self._may_be_lost = True
        self._mod_revision = NO_REVISION
        self._version = 0

    async def read(self, *, may_be_stale: bool = False) -> ConfigurationCopy | None:
        """Return the copy in the store, if there is a valid one.

        Args:
            may_be_stale: Allow the store to answer with a value that is seconds old.

        Raises:
            StoreError: If the store can't be reached.
        """
        snapshot = await self._store.read(CONFIGURATION_COPY, may_be_stale=may_be_stale)
        value = snapshot.values_by_key.get(CONFIGURATION_COPY)
        if value is None:
            self.assume_lost()
            return None
        self._mod_revision = value.mod_revision
        copy = decode_copy(value.value, keys=self._keys)
        self._version = copy.version if copy is not None else 0
        return copy

    def is_older_than(self, version: int) -> bool:
        """Return whether the copy, as last seen, is older than ``version``."""
        return version > self._version

    async def write(self, copy: ConfigurationCopy) -> bool:
        """Replace an older copy; return whether this one is in the store now.

        Reads the copy again instead if another balancer has replaced it, or if the
        store was restored from a backup: there the compared revision number may
        belong to another write.

        Raises:
            StoreError: If the store can't be reached.
        """
        value = encode_copy(copy, keys=self._keys)
        if len(value) > MAX_COPY_BYTES:
            self._version = copy.version  # Too large to store: prevents a retry.
            return False
        expected = self._mod_revision
        self._may_be_lost = False
        result = await self._store.transact(
            compares=(Compare(key=CONFIGURATION_COPY, mod_revision=expected),),
            puts=(Put(key=CONFIGURATION_COPY, value=value),),
        )
        was_restored = (
            expected != NO_REVISION and expected.generation < result.revision.generation
        )
        if not result.succeeded or was_restored or self._may_be_lost:
            await self.read()
            return False
        self._mod_revision, self._version = result.revision, copy.version
        return True
