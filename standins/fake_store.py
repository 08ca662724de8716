"""An in-memory platform client for tests, backed by a `Store`."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable

from monsoonpier.model.revision import Revision
from monsoonpier.store.interface import (
    MAX_CHANGES_BYTES,
    Changes,
    Compare,
    LeaseNotFoundError,
    Put,
    RestoredError,
    Snapshot,
    StoreError,
    TransactionResult,
    WatchEvent,
)
from standins.store import Store, range_end

__all__ = ["FakeStore"]

POLL_SECONDS = 0.01


class FakeStore:
    """Implements the platform client's interface, with faults.

    Attributes:
        is_down: Every call fails, and watches deliver nothing.
        lost_answers: How many of the next writes take effect but raise an error.
    """

    def __init__(
        self,
        *,
        store: Store | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.store = store or Store()
        self._clock = clock
        self.is_down = False
        self.lost_answers = 0
        self.generation = 0

    async def read(
        self, key: str, *, prefix: bool = False, may_be_stale: bool = False
    ) -> Snapshot:
        """Return the key, or all keys that begin with it."""
        self._raise_if_down()
        self.generation = self.store.generation
        return self.store.read(
            key, end=range_end(key, prefix=prefix), now=self._clock()
        )

    async def transact(
        self,
        *,
        compares: tuple[Compare, ...],
        puts: tuple[Put, ...],
        removes: tuple[str, ...] = (),
    ) -> TransactionResult:
        """Write ``puts`` and delete ``removes`` if all of ``compares`` hold."""
        self._raise_if_down()
        # Like a client, compare with the latest generation seen, which may lag behind
        # the store's.
        if any(self._is_outdated(compare.mod_revision) for compare in compares):
            return TransactionResult(succeeded=False, revision=self.store.revision)
        self.generation = self.store.generation
        try:
            result = self.store.transact(
                compares=compares, puts=puts, removes=removes, now=self._clock()
            )
        except KeyError as error:
            raise LeaseNotFoundError(str(error)) from error
        if self.lost_answers:
            self.lost_answers -= 1
            raise StoreError("the response was lost")
        return result

    async def grant(self, *, ttl_seconds: int) -> int:
        """Grant a lease and return its id."""
        self._raise_if_down()
        self.generation = self.store.generation
        return self.store.grant(ttl_seconds=ttl_seconds, now=self._clock())

    async def renew(self, lease: int) -> int:
        """Renew a lease and return its time to live in seconds."""
        self._raise_if_down()
        self.generation = self.store.generation
        ttl = self.store.renew(lease, now=self._clock())
        if not ttl:
            raise LeaseNotFoundError("the lease has ended")
        return ttl

    async def revoke(self, lease: int) -> None:
        """End a lease; its keys are deleted."""
        self._raise_if_down()
        try:
            self.store.revoke(lease)
        except KeyError as error:
            raise LeaseNotFoundError(str(error)) from error

    async def read_changes(
        self,
        key: str,
        *,
        prefix: bool = False,
        after: Revision,
        known_keys: frozenset[str] = frozenset(),
        max_bytes: int = MAX_CHANGES_BYTES,
    ) -> Changes:
        """Return the changes after a revision."""
        self._raise_if_down()
        self.generation = self.store.generation
        if self.store.generation != after.generation:
            raise RestoredError("the platform was restored from a backup")
        self.store.expire(now=self._clock())
        end = range_end(key, prefix=prefix)
        events = self.store.events(key, end=end, since=after.number + 1)
        return Changes(revision=self.store.revision, events=tuple(events))

    async def watch(
        self,
        key: str,
        *,
        prefix: bool = False,
        from_revision: Revision,
        on_progress: Callable[[Revision, float], None] | None = None,
        read_max_bytes: Callable[[], int] = lambda: MAX_CHANGES_BYTES,
    ) -> AsyncIterator[WatchEvent]:
        """Yield changes from that revision on; resume after an outage.

        Raises:
            RestoredError: If the store was restored since.
        """
        since = from_revision.number
        end = range_end(key, prefix=prefix)
        while True:
            if not self.is_down:
                if self.store.generation != from_revision.generation:
                    raise RestoredError("the platform was restored from a backup")
                self.store.expire(now=self._clock())
                for event in self.store.events(key, end=end, since=since):
                    since = event.mod_revision.number + 1
                    yield event
                if on_progress is not None:
                    on_progress(self.store.revision, self._clock())
            await asyncio.sleep(POLL_SECONDS)

    async def close(self) -> None:
        """Do nothing: there is no connection to close."""

    def _is_outdated(self, revision: Revision) -> bool:
        return bool(revision.number) and revision.generation < self.generation

    def _raise_if_down(self) -> None:
        if self.is_down:
            raise StoreError("the platform is down")
