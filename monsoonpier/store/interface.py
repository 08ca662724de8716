"""The interface of the platform's key-value store, in the terms of etcd v3."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Protocol

from monsoonpier.model.revision import NO_REVISION, Revision

__all__ = [
    "MAX_CHANGES_BYTES",
    "Changes",
    "CompactedError",
    "Compare",
    "KeyValue",
    "LeaseNotFoundError",
    "Store",
    "StoreError",
    "Put",
    "RestoredError",
    "TransactionResult",
    "WatchBehindError",
    "WatchEvent",
    "Snapshot",
    "prefix_end",
]


MAX_CHANGES_BYTES = 4 * 1_048_576  # of changes in one answer; several large values


class StoreError(Exception):
    """The store is unreachable, or its response was lost or unusable.

    A write that raises this may have taken effect. ``was_partial`` is true if a part
    of the response was received.
    """

    def __init__(self, reason: str, *, was_partial: bool = False) -> None:
        super().__init__(reason)
        self.was_partial = was_partial


class LeaseNotFoundError(StoreError):
    """The lease has expired or was revoked."""


class CompactedError(StoreError):
    """The store has discarded changes that a watch needs."""


class RestoredError(CompactedError):
    """The store was restored from a backup since the revision to watch from.

    A restored store reuses revision numbers for other changes, so the watch can't
    continue.
    """


class WatchBehindError(CompactedError):
    """The changes that a watch missed are too many to be received in one answer.

    The answer to a retry would hold the same changes, and any newer ones. The present
    state must be read.
    """


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyValue:
    """A key, its value, its lease, and the revision of its last change."""

    key: str
    value: bytes
    mod_revision: Revision
    lease: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Compare:
    """A condition: the key was last changed at ``mod_revision``.

    `NO_REVISION` requires that the key does not exist. A revision of an earlier
    generation never matches, because its number may have been reused.
    """

    key: str
    mod_revision: Revision = NO_REVISION


@dataclass(frozen=True, slots=True, kw_only=True)
class Put:
    """A write; lease 0 means that the key does not expire."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class TransactionResult:
    """The result of a transaction.

    Attributes:
        succeeded: Whether all conditions held, so that the writes took effect.
        revision: The revision of the writes. If they did not take effect, only its
            generation is meaningful.
    """

    succeeded: bool
    revision: Revision


@dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """The values of the keys read.

    Each key is as it was at ``revision`` or later, so a watch that continues from
    ``revision`` misses no change.
    """

    revision: Revision
    values_by_key: dict[str, KeyValue]


@dataclass(frozen=True, slots=True, kw_only=True)
class WatchEvent:
    """A change of a key; ``value`` is ``None`` if the key was deleted."""

    key: str
    value: bytes | None
    mod_revision: Revision


@dataclass(frozen=True, slots=True, kw_only=True)
class Changes:
    """The changes after a revision, up to ``revision``."""

    revision: Revision
    events: tuple[WatchEvent, ...] = ()


class Store(Protocol):
    """The operations of the key-value store; each may raise `StoreError`.

    Each revision includes the generation that the store had when it responded, so
    revisions from before a restore always compare as older.
    """

    @property
    def generation(self) -> int:
        """The newest generation seen in a response; 0 before the first one."""

    async def read(
        self, key: str, *, prefix: bool = False, may_be_stale: bool = False
    ) -> Snapshot:
        """Return the key, or all keys with that prefix.

        Args:
            key: The key or prefix.
            prefix: Whether ``key`` is a prefix.
            may_be_stale: Allow data that is seconds old, which is cheaper to read.
        """

    async def read_changes(
        self,
        key: str,
        *,
        prefix: bool = False,
        after: Revision,
        known_keys: frozenset[str] = frozenset(),
        max_bytes: int = MAX_CHANGES_BYTES,
    ) -> Changes:
        """Return the changes of the key, or of all keys with that prefix.

        Small and cheap if there are none. Of several changes of a key only the last
        one is certain to be returned.

        Args:
            key: The key or prefix.
            prefix: Whether ``key`` is a prefix.
            after: The revision after which changes are returned.
            known_keys: Keys that existed at ``after``. Stores that don't report
                deletions report those of these keys that are missing.
            max_bytes: As for `watch`.

        Raises:
            CompactedError: As for `watch`.
            WatchBehindError: As for `watch`.
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
        """Create a lease and return its id."""

    async def renew(self, lease: int) -> int:
        """Renew a lease and return its time to live in seconds."""

    async def revoke(self, lease: int) -> None:
        """Revoke a lease, which deletes its keys."""

    def watch(
        self,
        key: str,
        *,
        prefix: bool = False,
        from_revision: Revision,
        on_progress: Callable[[Revision, float], None] | None = None,
        read_max_bytes: Callable[[], int] = lambda: MAX_CHANGES_BYTES,
    ) -> AsyncIterator[WatchEvent]:
        """Yield every change at ``from_revision`` or later; reconnect when needed.

        Args:
            key: The key or prefix.
            prefix: Whether ``key`` is a prefix.
            from_revision: The first revision of interest.
            on_progress: Called with a revision and a monotonic time, after the
                changes up to the revision were processed, if the store had no later
                one at that time. Some stores never report it.
            read_max_bytes: Returns the size of changes, about which it is cheaper to
                read the present state than to receive them all. Stores that send one
                change at a time don't ask for it.

        Raises:
            CompactedError: If the store has discarded changes since that revision.
            RestoredError: If the store now has another generation.
            WatchBehindError: If the changes can't be received in time, or are too
                large.
        """

    async def close(self) -> None:
        """Close all connections."""


def prefix_end(prefix: str) -> bytes:
    """Return the end of the key range that ``prefix`` covers, exclusive."""
    raw = bytearray(prefix.encode())
    raw[-1] += 1
    return bytes(raw)
