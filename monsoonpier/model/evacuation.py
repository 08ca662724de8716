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
# space for records.
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
        read_at: The store's revision of the newest full read. For data
            centres without a known order, updates of the same generation are
            ignored unless they are newer than this read.
        concluded_at: The revision of the newest conclusive read. For data
            centres without a known order, updates of any generation are
            ignored unless they are newer than this read.
    """

    known: tuple[Evacuation, ...] = ()
    read_at: Revision = NO_REVISION
    concluded_at: Revision = NO_REVISION

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

    @property
    def active(self) -> frozenset[str]:
        """The names of the evacuated data centres."""
        return frozenset(order.data_centre for order in self.known if order.is_active)

    def joined(self, orders: Iterable[Evacuation]) -> "Evacuations":
        """Return these orders merged with updates; the newer order wins.

        The merge is commutative and idempotent, up to `MAX_EVACUATIONS` data
        centres.
        """
        newest_by_name = {order.data_centre: order for order in self.known}
        is_changed = False
        for order in orders:
            current = newest_by_name.get(order.data_centre)
            is_newer = (
                order.written_at > current.written_at
                if current is not None
                else not self._is_outdated(order.written_at)
            )
            if is_newer:
                newest_by_name[order.data_centre] = order
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
        found = [
            evacuation(name, written_at=written, is_active=True)
            for name, written in revisions_by_data_centre.items()
        ]
        missing = [
            evacuation(order.data_centre, written_at=revision, is_active=False)
            for order in self.known
            if order.is_active
            and order.data_centre not in revisions_by_data_centre
            and (is_conclusive or order.generation >= revision.generation)
        ]
        is_newest = revision > self.read_at
        base = Evacuations(known=self.known) if is_newest else self
        after = base.joined(found + missing)
        return replace(
            after,
            read_at=max(revision, self.read_at),
            concluded_at=max(revision, self.concluded_at)
            if is_conclusive
            else self.concluded_at,
        )

    def _is_outdated(self, written_at: Revision) -> bool:
        """Return whether an update was written before a read that did not find it.

        Applies only to data centres without a known order.
        """
        if written_at <= self.concluded_at:
            return True
        is_same_generation = written_at.generation == self.read_at.generation
        return is_same_generation and written_at <= self.read_at


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
