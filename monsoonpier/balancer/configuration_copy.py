"""A compact copy of the configuration, for processes that start.

The load that it answers: everything has lost power, and each balancer reads the
operators' value before it can serve anybody. With 1,600 routes that is 370 KB, 0.6 s
of an entry VM's link of 5 Mbit/s; packed it is a tenth.
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
    "open_copy",
    "seal_copy",
]

MAX_COPY_BYTES = 1_000_000  # the least that stores allow for a value, less the seal


class ConfigurationCopy(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What a balancer that knew the configuration has left for others.

    Attributes:
        version: The configuration's version; who holds a newer one ignores the copy.
        packed: The operators' value as peers hand it to one another.
    """

    version: int
    packed: bytes


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(ConfigurationCopy).decode


def seal_copy(copy: ConfigurationCopy, *, keys: KeyRing) -> bytes:
    """Return the value that is stored; only holders of a key can make one."""
    return keys.seal(_encode(copy), purpose=FRAME)


def open_copy(data: bytes, *, keys: KeyRing) -> ConfigurationCopy | None:
    """Return the copy in a stored value; ``None`` if it is somebody else's."""
    body = keys.unseal(data, purpose=FRAME)
    if body is None:
        return None
    try:
        return _decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


class ConfigurationCopies:
    """The copy in the store: read by those who start, kept by one balancer.

    Args:
        store: The platform's key-value service.
        keys: Seal the copy.
    """

    def __init__(self, *, store: Store, keys: KeyRing) -> None:
        self._store = store
        self._keys = keys
        self._mod_revision = NO_REVISION
        self._version = 0
        self._is_doubtful = False

    def forget(self) -> None:
        """Believe no longer that a copy is there: the store may have lost it.

        Nor what a write that is under way will be answered.
        """
        self._is_doubtful = True
        self._mod_revision = NO_REVISION
        self._version = 0

    async def read(self, *, may_be_old: bool = False) -> ConfigurationCopy | None:
        """Return the copy in the store, if there is one that can be used.

        Args:
            may_be_old: One that is seconds old will do.

        Raises:
            StoreError: If the store can't be reached.
        """
        found = await self._store.read(CONFIGURATION_COPY, may_be_old=may_be_old)
        value = found.values_by_key.get(CONFIGURATION_COPY)
        if value is None:
            self.forget()
            return None
        self._mod_revision = value.mod_revision
        copy = open_copy(value.value, keys=self._keys)
        self._version = copy.version if copy is not None else 0
        return copy

    def is_old(self, version: int) -> bool:
        """Tell whether the copy, as far as is known, is of an older version."""
        return version > self._version

    async def write(self, copy: ConfigurationCopy) -> bool:
        """Replace an older copy; tell whether this one is in the store now.

        Another balancer may have replaced it meanwhile: then it is read anew. So it
        is if the store came back from an older copy, where the condition may have held
        for another revision of the same number.

        Raises:
            StoreError: If the store can't be reached.
        """
        value = seal_copy(copy, keys=self._keys)
        if len(value) > MAX_COPY_BYTES:
            self._version = copy.version  # Too large for anybody: not tried again.
            return False
        held = self._mod_revision
        self._is_doubtful = False
        result = await self._store.transact(
            compares=(Compare(key=CONFIGURATION_COPY, mod_revision=held),),
            puts=(Put(key=CONFIGURATION_COPY, value=value),),
        )
        is_earlier = (
            held != NO_REVISION and held.generation < result.revision.generation
        )
        if not result.succeeded or is_earlier or self._is_doubtful:
            await self.read()
            return False
        self._mod_revision, self._version = result.revision, copy.version
        return True
