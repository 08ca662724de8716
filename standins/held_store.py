"""Clients of a `Store` whose calls are executed and answered at chosen moments."""

import asyncio
import contextlib
import selectors
from collections.abc import AsyncIterator, Callable, Coroutine
from dataclasses import dataclass

from monsoonpier.model.revision import Revision
from monsoonpier.store.interface import (
    MAX_CHANGES_BYTES,
    Changes,
    CompactedError,
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

__all__ = ["PROMPT", "Course", "HeldStore", "SharedStore", "run_in_virtual_time"]

CALL_SECONDS = 2.0  # after which a client gives an unanswered call up
WATCH_SECONDS = 2.0
RETRY_SECONDS = 0.25  # between two attempts of a watch


@dataclass(frozen=True, slots=True, kw_only=True)
class Course:
    """What happens to one call.

    Attributes:
        sent_seconds: How long the request is held.
        answer_seconds: How long the answer is held.
        is_executed: Whether the store executes the call.
        is_answered: Whether an answer arrives; otherwise the call times out.
        is_error: Whether the answer is an error that tells nothing.
        has_generation: Whether the answer tells its generation.
        late_seconds: When the store executes a call that has no answer, if not at
            once; the client may have given the call up by then.
    """

    sent_seconds: float = 0.0
    answer_seconds: float = 0.0
    is_executed: bool = True
    is_answered: bool = True
    is_error: bool = False
    has_generation: bool = True
    late_seconds: float = 0.0


PROMPT = Course()


@dataclass(slots=True, kw_only=True)
class SharedStore:
    """The store that all clients of a test call."""

    store: Store
    is_down: bool = False


class HeldStore:
    """A client, which learns of a generation only when an answer arrives.

    Args:
        shared: The store.
        course: Returns the course of the next call of this name.
        wait_seconds: The longest wait of a watch call.
    """

    def __init__(
        self,
        *,
        shared: SharedStore,
        course: Callable[[str], Course],
        wait_seconds: float = WATCH_SECONDS,
    ) -> None:
        self._shared = shared
        self._wait_seconds = wait_seconds
        self._course = course
        self.generation = 0

    async def read(
        self, key: str, *, prefix: bool = False, may_be_stale: bool = False
    ) -> Snapshot:
        """Return the key, or all keys that begin with it."""
        end = range_end(key, prefix=prefix)

        def execute(store: Store) -> Snapshot:
            return store.read(key, end=end, now=_now())

        return await self._call("read", execute)

    async def transact(
        self,
        *,
        compares: tuple[Compare, ...],
        puts: tuple[Put, ...],
        removes: tuple[str, ...] = (),
    ) -> TransactionResult:
        """Write ``puts`` and delete ``removes`` if all of ``compares`` hold."""
        for compare in compares:
            revision = compare.mod_revision
            if revision.number and revision.generation < self.generation:
                current = Revision(generation=self.generation)
                return TransactionResult(succeeded=False, revision=current)

        def execute(store: Store) -> TransactionResult:
            return store.transact(
                compares=compares, puts=puts, removes=removes, now=_now()
            )

        return await self._call("transact", execute)

    async def grant(self, *, ttl_seconds: int) -> int:
        """Grant a lease and return its id."""
        return await self._call(
            "grant", lambda store: store.grant(ttl_seconds=ttl_seconds, now=_now())
        )

    async def renew(self, lease: int) -> int:
        """Renew a lease and return its time to live in seconds."""
        ttl = await self._call("renew", lambda store: store.renew(lease, now=_now()))
        if not ttl:
            raise LeaseNotFoundError("the lease has ended")
        return ttl

    async def revoke(self, lease: int) -> None:
        """End a lease; its keys are deleted."""
        await self._call("revoke", lambda store: store.revoke(lease))

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
        end = range_end(key, prefix=prefix)

        def execute(store: Store) -> Changes:
            if after > store.revision:
                raise CompactedError("the revision has been compacted")
            events = store.events(key, end=end, since=after.number + 1)
            return Changes(revision=store.revision, events=tuple(events))

        changes = await self._call("read_changes", execute)
        if changes.revision.generation != after.generation:
            raise RestoredError("the store was restored")
        return changes

    async def watch(
        self,
        key: str,
        *,
        prefix: bool = False,
        from_revision: Revision,
        on_progress: Callable[[Revision, float], None] | None = None,
        read_max_bytes: Callable[[], int] = lambda: MAX_CHANGES_BYTES,
    ) -> AsyncIterator[WatchEvent]:
        """Yield changes from that revision on; retry failed calls."""
        since = from_revision.number
        end = range_end(key, prefix=prefix)

        revision = from_revision.previous

        def execute(store: Store) -> list[WatchEvent]:
            nonlocal revision
            if since > store.number + 1 and store.generation == generation:
                raise CompactedError("the revision has been compacted")
            revision = store.revision
            return store.events(key, end=end, since=since)

        generation = from_revision.generation
        while True:
            asked_at = _now()
            try:
                events = await self._call("watch", execute, watched=generation)
            except CompactedError:
                raise
            except StoreError:
                await asyncio.sleep(RETRY_SECONDS)
                continue
            for event in events:
                since = event.mod_revision.number + 1
                yield event
            if on_progress is not None:
                waited = 0.0 if events else self._wait_seconds
                on_progress(revision, asked_at + waited)

    async def close(self) -> None:
        """Do nothing: there is no connection to close."""

    async def _call(self, name: str, execute: Callable, *, watched: int | None = None):
        """Send, execute and answer one call as its course says."""
        course = self._course(name)
        await asyncio.sleep(course.sent_seconds)
        shared = self._shared
        if shared.is_down:
            raise StoreError("connection reset")
        result = error = None
        if watched is not None:
            await self._wait_for_change(execute, watched=watched)
        answered_in = shared.store.generation
        if course.late_seconds:
            asyncio.get_running_loop().call_later(
                course.late_seconds, self._execute_late, execute
            )
        elif course.is_executed:
            try:
                result = execute(shared.store)
            except KeyError as missing:
                error = LeaseNotFoundError(str(missing))
            except CompactedError as compacted:
                error = compacted
        if not course.is_answered:
            await asyncio.sleep(CALL_SECONDS)
            raise StoreError("TimeoutError()")
        await asyncio.sleep(course.answer_seconds)
        if course.is_error:
            raise StoreError("connection reset")
        if course.has_generation:
            self.generation = max(self.generation, answered_in)
        else:
            answered_in = self.generation
        if watched is not None and answered_in != watched:
            raise RestoredError("the store was restored")
        if error is not None:
            raise error
        return result

    def _execute_late(self, execute: Callable) -> None:
        with contextlib.suppress(KeyError, CompactedError):
            execute(self._shared.store)

    async def _wait_for_change(self, execute: Callable, *, watched: int) -> None:
        """Hold a watch until there is a change; abort it if the store is down."""
        shared = self._shared
        began_in, until = shared.store.generation, _now() + self._wait_seconds
        while began_in == watched and _now() < until:
            if shared.is_down or shared.store.generation != began_in:
                raise StoreError("connection reset")
            try:
                if execute(shared.store):
                    return
            except CompactedError:
                return
            await asyncio.sleep(0.1)


def _now() -> float:
    return asyncio.get_running_loop().time()


class _JumpingSelector(selectors.SelectSelector):
    """Lets the loop's time jump to its next timer in place of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None):
        """Return what is ready; advance time by the timeout."""
        if timeout is None:
            raise RuntimeError("nothing is left to wait for")
        self.now += max(0.0, timeout)
        return super().select(0)


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now


def run_in_virtual_time(job: Coroutine):
    """Run a coroutine on a loop whose timers pass at once; return its result."""
    with asyncio.Runner(loop_factory=_VirtualLoop) as runner:
        return runner.run(job)
