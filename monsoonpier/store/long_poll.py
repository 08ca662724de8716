"""A watch made of calls that wait for changes: polled again across failures."""

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass

import structlog

from monsoonpier.store.backoff import Backoff
from monsoonpier.store.interface import CompactedError, StoreError, WatchEvent

__all__ = ["Polled", "poll_forever"]

MAX_RETRY_SECONDS = 0.5  # so soon after an outage a watch is made anew
_log = structlog.get_logger("monsoonpier.store.long_poll")


@dataclass(frozen=True, slots=True, kw_only=True)
class Polled:
    """What one call brought: changes, and the number to go on from."""

    events: tuple[WatchEvent, ...]
    number: int


async def poll_forever(
    poll: Callable[[int], Awaitable[Polled]],
    *,
    key: str,
    after: int,
    draw: random.Random,
) -> AsyncIterator[WatchEvent]:
    """Yield the changes that each call brings, and call again from there on.

    Args:
        poll: Waits for changes after a revision's number.
        key: What is watched, for the log.
        after: The number of the revision before the first one wanted.
        draw: Random numbers for pauses.

    Raises:
        CompactedError: As ``poll`` does; other errors are retried.
    """
    backoff = Backoff(most_seconds=MAX_RETRY_SECONDS)
    while True:
        try:
            polled = await poll(after)
        except CompactedError:
            raise
        except StoreError as error:
            _log.warning("watch failed", key=key, reason=str(error))
            await asyncio.sleep(backoff.wait_seconds(draw=draw))
            backoff = backoff.after_failure()
            continue
        backoff = backoff.after_success()
        after = max(after, polled.number)
        for event in polled.events:
            yield event
