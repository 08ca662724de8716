"""A conditional write whose answer may be lost: what became of it.

The write's audit entry goes into the same transaction and is found under a key of its
own. If the answer is lost, reading that key tells whether the write took effect, even
after another operator's change followed it.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from monsoonpier.store.backoff import Backoff
from monsoonpier.store.interface import Compare, Put, Store, StoreError

__all__ = ["Proof", "Refused", "Undecided", "Written", "write"]

RESOLVE_SECONDS = 10.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Proof:
    """How a write is known again.

    Attributes:
        key: The key of its audit entry.
        is_own: Tells whether an entry under that key is this write's.
    """

    key: str
    is_own: Callable[[bytes], bool]


@dataclass(frozen=True, slots=True, kw_only=True)
class Written:
    """The write took effect."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """A condition didn't hold; nothing was written."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Undecided:
    """The platform could not be asked whether the write took effect."""

    reason: str


async def write(
    platform: Store,
    *,
    compares: tuple[Compare, ...],
    puts: tuple[Put, ...],
    removes: tuple[str, ...] = (),
    proof: Proof,
    draw: random.Random,
    resolve_seconds: float = RESOLVE_SECONDS,
) -> Written | Refused | Undecided:
    """Write once, and find out what became of it.

    Args:
        platform: Where to.
        compares: Conditions; after the write they must not hold any more.
        puts: What is written, the audit entry too.
        removes: Keys that are deleted.
        proof: How the write is known again.
        draw: Random numbers for pauses.
        resolve_seconds: How long to go on asking.
    """
    backoff = Backoff(first_seconds=0.05, most_seconds=1.0)
    now = asyncio.get_running_loop().time
    deadline = now() + resolve_seconds
    while True:
        try:
            result = await platform.transact(
                compares=compares, puts=puts, removes=removes
            )
            if result.succeeded or await _took_effect(platform, proof):
                return Written()
            return Refused()
        except StoreError as error:
            # The same compares make a second try harmless: if the first took
            # effect they fail, and reading back finds this write's entry.
            if now() >= deadline:
                return Undecided(reason=str(error))
            await asyncio.sleep(backoff.wait_seconds(draw=draw))
            backoff = backoff.after_failure()


async def _took_effect(platform: Store, proof: Proof) -> bool:
    """Tell a write whose answer was lost from one that came second."""
    found = await platform.read(proof.key)
    return any(proof.is_own(value.value) for value in found.values_by_key.values())
