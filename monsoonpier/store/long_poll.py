"""Watching of a key by long polling, with retries of failed calls."""

import asyncio
import random
import time
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import structlog

from monsoonpier.model.revision import Revision
from monsoonpier.store.backoff import Backoff
from monsoonpier.store.interface import (
    MAX_CHANGES_BYTES,
    Changes,
    CompactedError,
    StoreError,
    WatchBehindError,
    WatchEvent,
)

__all__ = ["WATCH_SECONDS", "ChangesRequest", "LongPollStore"]

# Longest wait of one watch call. If its response is lost, the watch misses changes for
# this long.
WATCH_SECONDS = 2.0
MAX_RETRY_SECONDS = 0.5  # short, so that watches resume soon after an outage
_log = structlog.get_logger("monsoonpier.store.long_poll")


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangesRequest:
    """One call for changes.

    Attributes:
        key: The key or prefix.
        prefix: Whether ``key`` is a prefix.
        after: The revision after which changes are returned.
        wait_seconds: How long the store waits for a change if there is none.
        max_bytes: The size of changes that aren't received.
    """

    key: str
    prefix: bool
    after: Revision
    wait_seconds: float
    max_bytes: int


class LongPollStore(ABC):
    """Base of a `Store` whose calls for changes may wait until there is one.

    Args:
        wait_seconds: The longest wait of one watch call.
        draw: The random generator for the jitter of retries.
    """

    def __init__(self, *, wait_seconds: float, draw: random.Random) -> None:
        self._wait_seconds = wait_seconds
        self._draw = draw

    @abstractmethod
    async def _poll_changes(self, request: ChangesRequest) -> Changes:
        """Make one call for changes.

        Raises:
            CompactedError: As for `Store.watch`.
            StoreError: With ``was_partial`` also if the changes are too large.
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

        Raises:
            CompactedError: If the store has discarded changes since that revision.
            WatchBehindError: If only a part of the changes arrived in time, or they
                are too large.
        """
        request = ChangesRequest(
            key=key, prefix=prefix, after=after, wait_seconds=0.0, max_bytes=max_bytes
        )
        return await self._poll_in_time(request)

    async def watch(
        self,
        key: str,
        *,
        prefix: bool = False,
        from_revision: Revision,
        on_progress: Callable[[Revision, float], None] | None = None,
        read_max_bytes: Callable[[], int] = lambda: MAX_CHANGES_BYTES,
    ) -> AsyncIterator[WatchEvent]:
        """Yield every change at ``from_revision`` or later; reconnect when needed.

        Raises:
            CompactedError: If the store has discarded changes since that revision.
            RestoredError: If the store now has another generation, even if its
                revision numbers have reached that revision again.
            WatchBehindError: If only a part of an answer arrived in time, or it is too
                large. The answer to a retry would hold the same changes and all newer
                ones.
        """
        backoff = Backoff(max_seconds=MAX_RETRY_SECONDS)
        after = from_revision.previous
        while True:
            request = ChangesRequest(
                key=key,
                prefix=prefix,
                after=after,
                wait_seconds=self._wait_seconds,
                max_bytes=read_max_bytes(),
            )
            asked_at = time.monotonic()
            try:
                changes = await self._poll_in_time(request)
            except CompactedError:
                raise
            except StoreError as error:
                _log.warning("watch failed; retrying", key=key, reason=str(error))
                await asyncio.sleep(backoff.wait_seconds(draw=self._draw))
                backoff = backoff.after_failure()
                continue
            as_of = self._valid_as_of(changes, asked_at=asked_at, now=time.monotonic())
            backoff = backoff.after_success()
            after = max(after, changes.revision)
            for event in changes.events:
                yield event
            if on_progress is not None:
                on_progress(changes.revision, as_of)

    async def _poll_in_time(self, request: ChangesRequest) -> Changes:
        try:
            return await self._poll_changes(request)
        except StoreError as error:
            if error.was_partial:
                raise WatchBehindError(str(error)) from error
            raise

    def _valid_as_of(self, changes: Changes, *, asked_at: float, now: float) -> float:
        """Return a time at which the store had no later change than an answer holds.

        An empty answer shows the state at the end of the store's wait.
        """
        was_whole_wait = now - asked_at >= self._wait_seconds
        if changes.events or not was_whole_wait:
            return asked_at
        return asked_at + self._wait_seconds
