"""The key-value store behind the platform's test doubles."""

from copy import deepcopy
from dataclasses import dataclass, field, replace

from monsoonpier.model.revision import Revision
from monsoonpier.store.interface import (
    Compare,
    KeyValue,
    Put,
    Snapshot,
    TransactionResult,
    WatchEvent,
    prefix_end,
)

__all__ = ["Store", "StoreBackup", "range_end"]


@dataclass(slots=True, kw_only=True)
class _StoredLease:
    ttl_seconds: int
    expires_at: float
    keys: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreBackup:
    """A backup of a `Store`."""

    number: int
    values_by_key: dict[str, KeyValue]
    leases_by_id: dict[int, _StoredLease]
    last_lease: int
    history: list[WatchEvent]


class Store:
    """Keys with revisions, leases and a history for watches; does no I/O."""

    def __init__(self) -> None:
        self.generation = 0
        self.number = 1  # of the current revision
        self._values_by_key: dict[str, KeyValue] = {}
        self._leases_by_id: dict[int, _StoredLease] = {}
        self._last_lease = 7_000
        self.history: list[WatchEvent] = []

    @property
    def revision(self) -> Revision:
        """The current revision."""
        return Revision(generation=self.generation, number=self.number)

    def backup(self) -> StoreBackup:
        """Return a backup of the store."""
        return deepcopy(
            StoreBackup(
                number=self.number,
                values_by_key=self._values_by_key,
                leases_by_id=self._leases_by_id,
                last_lease=self._last_lease,
                history=self.history,
            )
        )

    def restore(self, backup: StoreBackup) -> None:
        """Restore a backup: writes and leases made since are lost.

        Begins a new generation, in which revision numbers and lease ids of the
        lost writes are used again.
        """
        backup = deepcopy(backup)
        self.generation += 1
        self.number = backup.number
        self._values_by_key = {
            key: replace(
                value, mod_revision=self._in_current_generation(value.mod_revision)
            )
            for key, value in backup.values_by_key.items()
        }
        self._leases_by_id = backup.leases_by_id
        self._last_lease = backup.last_lease
        self.history = [
            replace(event, mod_revision=self._in_current_generation(event.mod_revision))
            for event in backup.history
        ]

    def _in_current_generation(self, revision: Revision) -> Revision:
        return replace(revision, generation=self.generation)

    def read(self, key: str, *, end: bytes | None = None, now: float) -> Snapshot:
        """Return the key, or the keys from it up to ``end``."""
        self.expire(now=now)
        if end is None:
            found = (
                {key: self._values_by_key[key]} if key in self._values_by_key else {}
            )
        else:
            found = {
                k: v
                for k, v in sorted(self._values_by_key.items())
                if key.encode() <= k.encode() < end
            }
        return Snapshot(revision=self.revision, values_by_key=found)

    def transact(
        self,
        *,
        compares: tuple[Compare, ...],
        puts: tuple[Put, ...],
        removes: tuple[str, ...] = (),
        now: float,
    ) -> TransactionResult:
        """Write ``puts`` and delete ``removes`` if all of ``compares`` hold."""
        self.expire(now=now)
        for compare in compares:
            current = self._values_by_key.get(compare.key)
            found = current.mod_revision.number if current else 0
            if found != compare.mod_revision.number:
                return TransactionResult(succeeded=False, revision=self.revision)
        for put in puts:
            if put.lease and put.lease not in self._leases_by_id:
                raise KeyError("requested lease not found")
        if puts:
            self.number += 1
        for put in puts:
            self._put(put)
        for key in removes:
            if key in self._values_by_key:
                self._delete(key)
        return TransactionResult(succeeded=True, revision=self.revision)

    def grant(self, *, ttl_seconds: int, now: float) -> int:
        """Grant a lease and return its id."""
        self._last_lease += 1
        self._leases_by_id[self._last_lease] = _StoredLease(
            ttl_seconds=ttl_seconds, expires_at=now + ttl_seconds
        )
        return self._last_lease

    def renew(self, lease: int, *, now: float) -> int:
        """Renew a lease; return its time to live in seconds, 0 if it has expired."""
        self.expire(now=now)
        stored = self._leases_by_id.get(lease)
        if stored is None:
            return 0
        stored.expires_at = now + stored.ttl_seconds
        return stored.ttl_seconds

    def revoke(self, lease: int) -> None:
        """Revoke a lease and delete its keys.

        Raises:
            KeyError: If there is no such lease.
        """
        stored = self._leases_by_id.pop(lease, None)
        if stored is None:
            raise KeyError("requested lease not found")
        for key in sorted(stored.keys):
            self._delete(key)

    def expire(self, *, now: float) -> None:
        """Revoke expired leases."""
        for lease, stored in list(self._leases_by_id.items()):
            if now >= stored.expires_at:
                self.revoke(lease)

    def events(self, key: str, *, end: bytes | None, since: int) -> list[WatchEvent]:
        """Return changes to the keys from revision number ``since`` on."""
        return [
            event
            for event in self.history
            if event.mod_revision.number >= since and _matches(event.key, key, end)
        ]

    def _put(self, put: Put) -> None:
        old = self._values_by_key.get(put.key)
        if old is not None and old.lease in self._leases_by_id:
            self._leases_by_id[old.lease].keys.discard(put.key)
        self._values_by_key[put.key] = KeyValue(
            key=put.key, value=put.value, mod_revision=self.revision, lease=put.lease
        )
        if put.lease:
            self._leases_by_id[put.lease].keys.add(put.key)
        self.history.append(
            WatchEvent(key=put.key, value=put.value, mod_revision=self.revision)
        )

    def _delete(self, key: str) -> None:
        self.number += 1
        del self._values_by_key[key]
        self.history.append(WatchEvent(key=key, value=None, mod_revision=self.revision))


def _matches(key: str, start: str, end: bytes | None) -> bool:
    if end is None:
        return key == start
    return start.encode() <= key.encode() < end


def range_end(key: str, *, prefix: bool) -> bytes | None:
    """Return the end of the key range: for a prefix its end, for a key ``None``."""
    return prefix_end(key) if prefix else None
