"""Conditional writes whose outcome can be read back if the response is lost.

Each write stores an audit entry under a key of its own, in the same
transaction. If the response is lost, the entry shows whether the write took
effect, even after a later write by another operator.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from monsoonpier.store.backoff import Backoff
from monsoonpier.store.interface import Compare, Put, Store, StoreError

__all__ = [
    "PreconditionFailed",
    "Unresolved",
    "WriteIdentity",
    "Written",
    "write_if_unchanged",
]

RESOLVE_SECONDS = 10.0


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteIdentity:
    """How to recognise the audit entry of a write.

    Attributes:
        key: Key of the audit entry.
        is_own: Returns whether a value under that key was stored by this
            write.
    """

    key: str
    is_own: Callable[[bytes], bool]


@dataclass(frozen=True, slots=True, kw_only=True)
class Written:
    """Outcome of a write that took effect."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PreconditionFailed:
    """Outcome of a write whose conditions did not hold."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Unresolved:
    """Outcome of a write that the store could not confirm or rule out."""

    reason: str


async def write_if_unchanged(
    platform: Store,
    *,
    compares: tuple[Compare, ...],
    puts: tuple[Put, ...],
    removes: tuple[str, ...] = (),
    identity: WriteIdentity,
    draw: random.Random,
    resolve_seconds: float = RESOLVE_SECONDS,
) -> Written | PreconditionFailed | Unresolved:
    """Write if all conditions hold; retry while the outcome is unknown.

    Args:
        platform: The store.
        compares: Conditions. The write itself must make them false, so that a
            retry can't take effect a second time.
        puts: Values to write, including the audit entry.
        removes: Keys to delete.
        identity: How to recognise the write's audit entry.
        draw: Source of random numbers for the delays between attempts.
        resolve_seconds: How long to retry while the store fails.
    """
    backoff = Backoff(initial_seconds=0.05, max_seconds=1.0)
    now = asyncio.get_running_loop().time
    deadline = now() + resolve_seconds
    while True:
        try:
            result = await platform.transact(
                compares=compares, puts=puts, removes=removes
            )
            if result.succeeded or await _took_effect(platform, identity):
                return Written()
            return PreconditionFailed()
        except StoreError as error:
            # A retry is safe: if the failed attempt took effect, the
            # conditions no longer hold, and its audit entry is found.
            if now() >= deadline:
                return Unresolved(reason=str(error))
            await asyncio.sleep(backoff.wait_seconds(draw=draw))
            backoff = backoff.after_failure()


async def _took_effect(platform: Store, identity: WriteIdentity) -> bool:
    """Return whether an attempt whose response was lost took effect."""
    found = await platform.read(identity.key)
    return any(identity.is_own(value.value) for value in found.values_by_key.values())
