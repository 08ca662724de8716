"""Watching of a key by long polling, with retries of failed calls."""

import asyncio
import random
import time
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable

import structlog

from monsoonpier.model.revision import Revision
from monsoonpier.store.backoff import Backoff
from monsoonpier.store.interface import (
    Changes,
    CompactedError,
    StoreError,
    WatchBehindError,
    WatchEvent,
)

__all__ = ["WATCH_SECONDS", "LongPollStore"]

# Longest wait of one watch call. If its response is lost, the watch misses changes for
# this long.
WATCH_SECONDS = 2.0
MAX_RETRY_SECONDS = 0.5  # short, so that watches resume soon after an outage
_log = structlog.get_logger("monsoonpier.store.long_poll")


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
    async def _poll_changes(
        self, key: str, *, prefix: bool, after: Revision, wait_seconds: float
    ) -> Changes:
        """Return the changes after a revision; without any, wait for the first.

        Raises:
            CompactedError: As for `Store.watch`.
        """

    async def read_changes(
        self,
        key: str,
        *,
        prefix: bool = False,
        after: Revision,
        known_keys: frozenset[str] = frozenset(),
    ) -> Changes:
        """Return the changes of the key, or of all keys with that prefix.

        Raises:
            CompactedError: If the store has discarded changes since that revision.
            WatchBehindError: If only a part of the changes arrived in time.
        """
        return await self._poll_in_time(
            key, prefix=prefix, after=after, wait_seconds=0.0
        )

    async def watch(
        self,
        key: str,
        *,
        prefix: bool = False,
        from_revision: Revision,
        on_progress: Callable[[Revision, float], None] | None = None,
    ) -> AsyncIterator[WatchEvent]:
        """Yield every change at ``from_revision`` or later; reconnect when needed.

        Raises:
            CompactedError: If the store has discarded changes since that revision.
            RestoredError: If the store now has another generation, even if its
                revision numbers have reached that revision again.
            WatchBehindError: If only a part of an answer arrived in time. The answer
                to a retry would hold the same changes and all newer ones.
        """
        backoff = Backoff(max_seconds=MAX_RETRY_SECONDS)
        after = from_revision.previous
        while True:
            asked_at = time.monotonic()
            try:
                changes = await self._poll_in_time(
                    key, prefix=prefix, after=after, wait_seconds=self._wait_seconds
                )
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

    async def _poll_in_time(self, key: str, **arguments) -> Changes:
        try:
            return await self._poll_changes(key, **arguments)
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
