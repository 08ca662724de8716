"""Watching of a key by long polling, with retries of failed calls."""

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass

import structlog

from monsoonpier.store.backoff import Backoff
from monsoonpier.store.interface import (
    CompactedError,
    StoreError,
    WatchBehindError,
    WatchEvent,
)

__all__ = ["PollResult", "long_poll"]

MAX_RETRY_SECONDS = 0.5  # short, so that watches resume soon after an outage
_log = structlog.get_logger("monsoonpier.store.long_poll")


@dataclass(frozen=True, slots=True, kw_only=True)
class PollResult:
    """The result of one call: changes, and the revision number to poll from next."""

    events: tuple[WatchEvent, ...]
    number: int


async def long_poll(
    poll: Callable[[int], Awaitable[PollResult]],
    *,
    key: str,
    after: int,
    draw: random.Random,
) -> AsyncIterator[WatchEvent]:
    """Poll in a loop and yield the changes that each call returns.

    Args:
        poll: Waits for changes after a revision number.
        key: The watched key, for the log.
        after: The revision number after which the watch begins.
        draw: The random generator for the jitter of retries.

    Raises:
        CompactedError: If ``poll`` raises it; other store errors are retried.
        WatchBehindError: If only a part of an answer arrived in time. The answer to a
            retry would hold the same changes and all newer ones.
    """
    backoff = Backoff(max_seconds=MAX_RETRY_SECONDS)
    while True:
        try:
            result = await poll(after)
        except CompactedError:
            raise
        except StoreError as error:
            if error.was_partial:
                raise WatchBehindError(str(error)) from error
            _log.warning("watch failed; retrying", key=key, reason=str(error))
            await asyncio.sleep(backoff.wait_seconds(draw=draw))
            backoff = backoff.after_failure()
            continue
        backoff = backoff.after_success()
        after = max(after, result.number)
        for event in result.events:
            yield event
