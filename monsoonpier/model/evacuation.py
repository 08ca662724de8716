"""Which data centres are evacuated: no new flow goes to a target there.

An operator's order is known by the store's revision that wrote or deleted it. Words
of it come in any order and more than once: from a watch, a full reading, a peer. The
greatest revision of a data centre holds, so what is known never goes back.

A store that comes back from an older copy may lack an order until its operator writes
it again. An order that is known from an earlier generation stays in force until a
conclusive reading of the newer one doesn't find it: sending flows to a data centre
that is being emptied is worse than sparing it for some seconds more.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Annotated

import msgspec
from msgspec import Meta

from monsoonpier.model.revision import MAX_GENERATION, NO_REVISION, Revision

__all__ = ["MAX_EVACUATIONS", "Evacuation", "Evacuations", "evacuation"]

# Data centres that were ever evacuated; what is aimed at has six. All of them are in
# each gossip datagram: 16 of 40 bytes leave room for eight targets' records.
MAX_EVACUATIONS = 16


class Evacuation(msgspec.Struct, frozen=True, kw_only=True, array_like=True, gc=False):
    """The last known order on one data centre.

    Attributes:
        data_centre: Its name.
        revision: The number of the store's revision of the order, or of its deletion.
        is_active: No new flow may go there; else the order was taken back.
        generation: The store's generation that this revision is of.
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
    """Return word of an order, or of its deletion, at a revision of the store."""
    return Evacuation(
        data_centre=data_centre,
        revision=written_at.number,
        is_active=is_active,
        generation=written_at.generation,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class Evacuations:
    """The last known orders of all data centres. Immutable.

    Attributes:
        known: The last known order on each data centre that ever had one.
        read_at: The store's revision of the newest full reading; what is older, of
            the same generation, and wasn't found then is outdated.
        concluded_at: That of the newest conclusive one; words of earlier generations
            that weren't found then are outdated too.
    """

    known: tuple[Evacuation, ...] = ()
    read_at: Revision = NO_REVISION
    concluded_at: Revision = NO_REVISION

    def is_evacuated(self, data_centre: str) -> bool:
        """Tell whether no new flow may go to the data centre."""
        order = self.of(data_centre)
        return order is not None and order.is_active

    def of(self, data_centre: str) -> Evacuation | None:
        """Return the last known order on a data centre, if there ever was one."""
        for order in self.known:
            if order.data_centre == data_centre:
                return order
        return None

    @property
    def active(self) -> frozenset[str]:
        """The names of the data centres that are evacuated."""
        return frozenset(order.data_centre for order in self.known if order.is_active)

    def joined(self, orders: Iterable[Evacuation]) -> "Evacuations":
        """Return these with other words of orders; the newer one of each holds.

        The result is the same in whatever order words come, and however often, up
        to `MAX_EVACUATIONS` data centres.
        """
        newest_by_name = {order.data_centre: order for order in self.known}
        is_changed = False
        for order in orders:
            held = newest_by_name.get(order.data_centre)
            is_newer = (
                order.written_at > held.written_at
                if held is not None
                else not self._is_outdated(order.written_at)
            )
            if is_newer:
                newest_by_name[order.data_centre] = order
                is_changed = True
        if not is_changed:
            return self
        return replace(self, known=_most_important(newest_by_name.values()))

    def as_read(
        self,
        revisions_by_data_centre: Mapping[str, Revision],
        *,
        revision: Revision,
        is_conclusive: bool = True,
    ) -> "Evacuations":
        """Return these after all orders were read from the store.

        Args:
            revisions_by_data_centre: Orders that are in the store, with the revision
                of each.
            revision: The store's revision that the reading holds for at least. An
                order that is older and wasn't found has been deleted.
            is_conclusive: Operators have had the time to write again what the store
                lost when it came back from a copy. Otherwise an order of an earlier
                generation stays in force though it wasn't found.
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
        unheard = Evacuations(known=self.known) if is_newest else self
        after = unheard.joined(found + missing)
        return replace(
            after,
            read_at=max(revision, self.read_at),
            concluded_at=max(revision, self.concluded_at)
            if is_conclusive
            else self.concluded_at,
        )

    def _is_outdated(self, written_at: Revision) -> bool:
        """Tell whether a word of an order that isn't known is older than a reading."""
        if written_at <= self.concluded_at:
            return True
        is_same_generation = written_at.generation == self.read_at.generation
        return is_same_generation and written_at <= self.read_at


def _most_important(orders: Iterable[Evacuation]) -> tuple[Evacuation, ...]:
    """Return active orders before those taken back, and the newest of each."""
    ranked = sorted(
        orders,
        key=lambda order: (order.is_active, order.written_at, order.data_centre),
        reverse=True,
    )
    return tuple(sorted(ranked[:MAX_EVACUATIONS], key=lambda o: o.data_centre))
