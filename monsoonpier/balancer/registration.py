"""Registration of a balancer in the store, under a lease."""

import asyncio
import random
import time
from collections.abc import Callable

import structlog

from monsoonpier.balancer.peers import Peers
from monsoonpier.balancer.store_generation import StoreGeneration
from monsoonpier.model.revision import Revision
from monsoonpier.store.backoff import Backoff
from monsoonpier.store.interface import (
    Compare,
    LeaseNotFoundError,
    Put,
    Store,
    StoreError,
)
from monsoonpier.store.keys import BALANCERS
from monsoonpier.store.lease import Lease
from monsoonpier.wire.frames import FrameCodec

__all__ = ["LEASE_TTL_SECONDS", "Registration"]

LEASE_TTL_SECONDS = 30
RENEW_SECONDS = 10.0
LEAVE_CALL_SECONDS = 2.0
# After a restore of the store all balancers register again, spread over this time. At
# the target size 460 balancers then make two or three writes each.
REGISTER_SPREAD_SECONDS = 0.5
_log = structlog.get_logger("monsoonpier.balancer.registration")


class Registration:
    """Keeps a balancer's record in the store and renews its lease.

    A lease of an earlier generation of the store isn't renewed: the restored store may
    have given its id to another process.

    Args:
        store: The platform's key-value service.
        peers: Hold this balancer's own record.
        codec: Encodes the record.
        generation: The newest known generation of the store.
        learn_generation: Called with the generation of each answer of the store.
        draw: Random numbers for jitter.
        clock: The monotonic clock.
    """

    def __init__(
        self,
        *,
        store: Store,
        peers: Peers,
        codec: FrameCodec,
        generation: StoreGeneration,
        learn_generation: Callable[[Revision], None],
        draw: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._now = clock
        self._store = store
        self._peers = peers
        self._codec = codec
        self._generation = generation
        self._learn_generation = learn_generation
        self._draw = draw
        self._restored = asyncio.Event()
        self._registered_generation = 0
        self._written = b""  # the record in the registration
        self._is_check_due = False
        self.lease = Lease()

    def store_restored(self) -> None:
        """Schedule a new registration, since the store was restored."""
        self._restored.set()

    async def leave(self) -> None:
        """Remove the registration.

        The lease isn't revoked but expires: if the store was restored, it may belong
        to another process, whose registration would be removed too.
        """
        self.lease = self.lease.released()
        if not self._written:
            return
        try:
            async with asyncio.timeout(LEAVE_CALL_SECONDS):
                is_removed = await self._remove()
        except (StoreError, TimeoutError) as error:
            _log.info("registration not removed", reason=str(error))
            return
        if not is_removed:
            _log.info("registration not removed", reason="not this process's")

    async def _remove(self) -> bool:
        """Remove the registration if it is this process's; return whether it was.

        Its revision isn't enough to tell, since a restored store gives out the same
        ones again, and a write whose answer was lost has an unknown one.
        """
        key = BALANCERS + self._peers.own.name
        found = (await self._store.read(key)).values_by_key.get(key)
        if found is None or found.value != self._written:
            return False
        compares = (Compare(key=key, mod_revision=found.mod_revision),)
        removed = await self._store.transact(compares=compares, puts=(), removes=(key,))
        return removed.succeeded

    async def run(self) -> None:
        """Register, and renew the lease until the balancer leaves."""
        backoff = Backoff()
        while not self._peers.own.leaving:
            try:
                await self.renew_or_register()
                backoff = backoff.after_success()
                await self._pause(RENEW_SECONDS * self._draw.uniform(0.8, 1.0))
            except StoreError as error:
                _log.info("store unreachable", reason=str(error))
                self.lease = self.lease.renewal_failed()
                await self._pause(backoff.wait_seconds(draw=self._draw))
                backoff = backoff.after_failure()

    async def _pause(self, seconds: float) -> None:
        """Wait until the next attempt, less long if the store is restored meanwhile."""
        try:
            async with asyncio.timeout(seconds):
                await self._restored.wait()
        except TimeoutError:
            return
        self._restored.clear()
        await asyncio.sleep(self._draw.uniform(0.0, REGISTER_SPREAD_SECONDS))

    @property
    def _is_registration_current(self) -> bool:
        """Whether the registration was written in the store's current generation."""
        return self._registered_generation >= self._generation.number

    async def renew_or_register(self) -> None:
        """Renew the lease; register if there is no lease of the current generation."""
        asked_at = self._now()
        if self.lease.may_act(now=asked_at) and self._is_registration_current:
            try:
                ttl = await self._store.renew(self.lease.id)
            except LeaseNotFoundError:
                self.lease = self.lease.lost()
            else:
                self.lease = self.lease.renewed(
                    ttl_seconds=ttl, asked_at=asked_at, now=self._now()
                )
            self._learn_generation(Revision(generation=self._store.generation))
            if self._is_check_due and self.lease.may_act(now=self._now()):
                await self._check_registration()
        if not self._is_registration_current and self.lease.may_act(now=self._now()):
            self.lease = self.lease.lost()
        if not self.lease.may_act(now=self._now()):
            await self._register()

    async def _check_registration(self) -> None:
        """Give the lease up if the registration is not bound to it.

        A write whose answer was lost, of this process or an earlier one of its name,
        may take effect after a later write, and bind the registration to a lease that
        isn't renewed.
        """
        key = BALANCERS + self._peers.own.name
        found = (await self._store.read(key)).values_by_key.get(key)
        if found is None or found.lease != self.lease.id:
            _log.warning("registration replaced by an earlier write", key=key)
            self.lease = self.lease.lost()
        self._is_check_due = False

    async def _register(self) -> None:
        asked_at = self._now()
        lease, generation = await self._grant()
        own = self._peers.own
        if own.leaving:
            return  # Otherwise a call in flight would undo the removal.
        self._written = self._codec.encode(own)
        put = Put(key=BALANCERS + own.name, value=self._written, lease=lease)
        self._is_check_due = True
        written = await self._store.transact(compares=(), puts=(put,))
        self._learn_generation(written.revision)
        self._registered_generation = min(generation, written.revision.generation)
        if not self._is_registration_current:
            raise StoreError("the store was restored during a registration")
        self.lease = self.lease.at(now=asked_at).granted(
            lease, ttl_seconds=LEASE_TTL_SECONDS, asked_at=asked_at
        )
        _log.info("registered", lease=lease, generation=self._registered_generation)

    async def _grant(self) -> tuple[int, int]:
        """Return a new lease and the generation that granted it."""
        while True:
            generation = self._store.generation
            lease = await self._store.grant(ttl_seconds=LEASE_TTL_SECONDS)
            if generation == self._store.generation:
                return lease, generation
            # A restore was learned meanwhile; the lease may be of the old generation.
