"""Which data centres are evacuated, so that their targets get no new flows.

An operator's order is identified by the revision of the store that wrote or
deleted it. Updates arrive in any order and more than once, from a watch, a
read of the store or a peer. The update with the greatest revision of a data
centre wins, so the known state never goes back.

A store that was restored from a backup may lack an order until the operator
writes it again. An order of an earlier generation therefore stays active
until a conclusive read in the newer generation does not find it: sending flows
to a data centre that is being evacuated is worse than sending it none for a
few more seconds.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Annotated

import msgspec
from msgspec import Meta

from monsoonpier.model.revision import MAX_GENERATION, NO_REVISION, Revision

__all__ = ["MAX_EVACUATIONS", "Evacuation", "Evacuations", "evacuation"]

# Every gossip datagram has all orders, so their number is limited to leave
# space for records: 16 of 40 bytes leave room for eight. There are six data
# centres at the target size.
MAX_EVACUATIONS = 16


class Evacuation(msgspec.Struct, frozen=True, kw_only=True, array_like=True, gc=False):
    """The latest known order on one data centre.

    Attributes:
        data_centre: The name of the data centre.
        revision: The revision number of the order, or of its deletion.
        is_active: Whether no new flow may go there; otherwise the order was
            revoked.
        generation: The generation of the store that the revision belongs to.
    """

    data_centre: Annotated[str, Meta(min_length=1, max_length=64)]
    revision: Annotated[int, Meta(ge=0)]
    is_active: bool
    generation: Annotated[int, Meta(ge=0, le=MAX_GENERATION)] = 0

    @property
    def written_at(self) -> Revision:
        """The store's revision of the order, or of its deletion."""
        return Revision(generation=self.generation, number=self.revision)


def evacuation(
    data_centre: str, *, written_at: Revision, is_active: bool
) -> Evacuation:
    """Return the order, or its revocation, at a revision of the store."""
    return Evacuation(
        data_centre=data_centre,
        revision=written_at.number,
        is_active=is_active,
        generation=written_at.generation,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class Evacuations:
    """The latest known orders on all data centres. Immutable.

    Attributes:
        known: The latest order on each data centre that ever had one.
        concluded_at: The store's revision of the newest conclusive read. An order
            of this revision or before, of any generation, is in force only if
            that read found it.
        read_at: The newest inconclusive read of each generation after
            ``concluded_at``. The same holds for orders of its generation.
    """

    known: tuple[Evacuation, ...] = ()
    concluded_at: Revision = NO_REVISION
    read_at: tuple[Revision, ...] = ()

    def is_evacuated(self, data_centre: str) -> bool:
        """Return whether no new flow may go to the data centre."""
        order = self.of(data_centre)
        return order is not None and order.is_active

    def of(self, data_centre: str) -> Evacuation | None:
        """Return the latest order on a data centre, if there ever was one."""
        for order in self.known:
            if order.data_centre == data_centre:
                return order
        return None

    def revocation_of(self, data_centre: str) -> Evacuation | None:
        """Return a revocation of all orders known to have ended on a data centre.

        Returns ``None`` while an order is in force, and before anything is known.
        """
        order = self.of(data_centre)
        if order is not None and order.is_active:
            return None
        if self.concluded_at == NO_REVISION:
            return order
        return _newest(order, _revoked(data_centre, at=self.concluded_at))

    @property
    def active(self) -> frozenset[str]:
        """The names of the evacuated data centres."""
        return frozenset(order.data_centre for order in self.known if order.is_active)

    def joined(self, orders: Iterable[Evacuation]) -> "Evacuations":
        """Return these orders merged with updates; the newer order wins.

        The merge is commutative and idempotent, also with `as_read`, up to
        `MAX_EVACUATIONS` data centres. An order that a read has superseded becomes a
        revocation, which corrects the sender when it is told of it.
        """
        newest_by_name = {order.data_centre: order for order in self.known}
        is_changed = False
        for order in orders:
            current = newest_by_name.get(order.data_centre)
            newest = self._merged(current, order)
            if newest is not None and newest != current:
                newest_by_name[order.data_centre] = newest
                is_changed = True
        if not is_changed:
            return self
        return replace(self, known=_limit_orders(newest_by_name.values()))

    def as_read(
        self,
        revisions_by_data_centre: Mapping[str, Revision],
        *,
        revision: Revision,
        is_conclusive: bool = True,
    ) -> "Evacuations":
        """Return these orders merged with a full read of the store.

        Args:
            revisions_by_data_centre: The orders in the store, with their
                revisions.
            revision: The store's revision at the read or before it. An older
                order that the read did not find has been deleted.
            is_conclusive: Whether operators have had the time to write again
                what the store lost in a restore. Otherwise an order of an
                earlier generation stays active even if the read did not find
                it.
        """
        if revision <= self.concluded_at:
            return self
        found = [
            evacuation(name, written_at=written, is_active=True)
            for name, written in revisions_by_data_centre.items()
        ]
        missing = [
            _revoked(order.data_centre, at=revision)
            for order in self.known
            if order.is_active
            and order.data_centre not in revisions_by_data_centre
            and (is_conclusive or order.generation >= revision.generation)
        ]
        after = self.joined(found + missing)
        if is_conclusive:
            later = tuple(read for read in self.read_at if read > revision)
            return replace(after, concluded_at=revision, read_at=later)
        return replace(after, read_at=_newest_by_generation(*self.read_at, revision))

    def _merged(
        self, current: Evacuation | None, update: Evacuation
    ) -> Evacuation | None:
        """Return the order that is in force after an update on its data centre."""
        read = self._superseding_read(update.written_at)
        if read is None:
            return _newest(current, update)
        if not update.is_active:
            is_concluded = update.written_at <= self.concluded_at
            return current if is_concluded else _newest(current, update)
        was_found = current is not None and (
            current.is_active and current.generation >= read.generation
        )
        if was_found:
            return current
        return _newest(current, _revoked(update.data_centre, at=read))

    def _superseding_read(self, written_at: Revision) -> Revision | None:
        """Return the newest read that tells whether an order is still in force."""
        reads = [
            read
            for read in self.read_at
            if written_at <= read and written_at.generation == read.generation
        ]
        if written_at <= self.concluded_at:
            reads.append(self.concluded_at)
        return max(reads, default=None)


def _revoked(data_centre: str, *, at: Revision) -> Evacuation:
    return evacuation(data_centre, written_at=at, is_active=False)


def _newest(current: Evacuation | None, update: Evacuation) -> Evacuation:
    if current is None or update.written_at > current.written_at:
        return update
    return current


def _newest_by_generation(*revisions: Revision) -> tuple[Revision, ...]:
    """Return the newest revision of each generation."""
    newest_by_generation: dict[int, Revision] = {}
    for revision in sorted(revisions):
        newest_by_generation[revision.generation] = revision
    return tuple(newest_by_generation.values())


def _limit_orders(orders: Iterable[Evacuation]) -> tuple[Evacuation, ...]:
    """Return at most `MAX_EVACUATIONS` of the orders, sorted by data centre.

    Revoked orders are discarded before active ones, and older orders before
    newer ones.
    """
    ranked = sorted(
        orders,
        key=lambda order: (order.is_active, order.written_at, order.data_centre),
        reverse=True,
    )
    return tuple(sorted(ranked[:MAX_EVACUATIONS], key=lambda o: o.data_centre))
