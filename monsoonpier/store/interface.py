"""What we ask of the platform, in the terms of the etcd v3 API."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol

from monsoonpier.model.revision import NO_REVISION, Revision

__all__ = [
    "CompactedError",
    "Compare",
    "KeyValue",
    "LeaseNotFoundError",
    "Store",
    "StoreError",
    "Put",
    "RestoredError",
    "TransactionResult",
    "WatchEvent",
    "Snapshot",
    "prefix_end",
]


class StoreError(Exception):
    """The platform can't be reached, or its answer was lost.

    A write that raised this may have taken effect.
    """


class LeaseNotFoundError(StoreError):
    """The platform answered that the lease has ended."""


class CompactedError(StoreError):
    """The platform no longer has the changes a watch asked for."""


class RestoredError(CompactedError):
    """The platform came back from an older copy since the watch's revision.

    Revisions have been given out again: its changes are others by the same numbers.
    """


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyValue:
    """A key, its value, and the revision of its last change."""

    key: str
    value: bytes
    mod_revision: Revision
    lease: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Compare:
    """A condition: the key was last changed at that revision.

    `NO_REVISION` means that it isn't there. One that was read in an earlier generation
    never holds: the number may have been given out again.
    """

    key: str
    mod_revision: Revision = NO_REVISION


@dataclass(frozen=True, slots=True, kw_only=True)
class Put:
    """A write, bound to a lease unless that is 0."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class TransactionResult:
    """Whether the conditions held and the writes took effect."""

    succeeded: bool
    revision: Revision


@dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """The present value of the keys read.

    Each value held at ``revision`` or has changed since; each key that is missing
    was so at ``revision`` or later.
    """

    revision: Revision
    values_by_key: dict[str, KeyValue]


@dataclass(frozen=True, slots=True, kw_only=True)
class WatchEvent:
    """A change of a key; ``value`` is ``None`` when it was deleted."""

    key: str
    value: bytes | None
    mod_revision: Revision


class Store(Protocol):
    """The operations that the project uses; each may raise `StoreError`.

    Revisions carry the generation of the answer that they came with, so that a late
    answer of an earlier generation never looks newer.
    """

    @property
    def generation(self) -> int:
        """The newest generation that an answer told of; 0 before the first one."""

    async def read(
        self, key: str, *, prefix: bool = False, may_be_old: bool = False
    ) -> Snapshot:
        """Return the key, or all keys that begin with it.

        Args:
            key: The key.
            prefix: Whether all keys are meant that begin with it.
            may_be_old: An answer that is seconds old will do, and costs less.
        """

    async def transact(
        self,
        *,
        compares: tuple[Compare, ...],
        puts: tuple[Put, ...],
        removes: tuple[str, ...] = (),
    ) -> TransactionResult:
        """Write ``puts`` and delete ``removes`` if all of ``compares`` hold."""

    async def grant(self, *, ttl_seconds: int) -> int:
        """Return the id of a new lease."""

    async def renew(self, lease: int) -> int:
        """Renew a lease and return its seconds to live."""

    async def revoke(self, lease: int) -> None:
        """End a lease; its keys are deleted."""

    def watch(
        self, key: str, *, prefix: bool = False, from_revision: Revision
    ) -> AsyncIterator[WatchEvent]:
        """Yield every change from that revision on, across cuts.

        Raises:
            CompactedError: If changes since then are no longer kept.
            RestoredError: If the platform is of another generation now.
        """

    async def close(self) -> None:
        """Let go of connections."""


def prefix_end(prefix: str) -> bytes:
    """Return the first key after all keys that begin with ``prefix``."""
    raw = bytearray(prefix.encode())
    raw[-1] += 1
    return bytes(raw)
