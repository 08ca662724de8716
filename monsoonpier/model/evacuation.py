"""Which data centres are evacuated: no new flow goes to a target there.

An operator's order is known by the store's revision that wrote or deleted it. Words
of it come in any order and more than once: from a watch, a full reading, a peer. The
greatest revision of a data centre holds, so what is known never goes back.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Annotated

import msgspec
from msgspec import Meta

__all__ = ["MAX_EVACUATIONS", "Evacuation", "Evacuations"]

# Data centres that were ever evacuated; what is aimed at has six. All of them are in
# each gossip datagram: 16 of 40 bytes leave room for eight targets' records.
MAX_EVACUATIONS = 16


class Evacuation(msgspec.Struct, frozen=True, kw_only=True, array_like=True, gc=False):
    """The last known order on one data centre.

    Attributes:
        data_centre: Its name.
        revision: The store's revision of the order, or of its deletion.
        is_active: No new flow may go there; else the order was taken back.
    """

    data_centre: Annotated[str, Meta(min_length=1, max_length=64)]
    revision: Annotated[int, Meta(ge=0)]
    is_active: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Evacuations:
    """The last known orders of all data centres. Immutable.

    Attributes:
        known: The last known order on each data centre that ever had one.
        read_at: The store's revision of the newest full reading; what is older and
            wasn't found then is outdated.
    """

    known: tuple[Evacuation, ...] = ()
    read_at: int = 0

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
            oldest = held.revision if held is not None else self.read_at
            if order.revision > oldest:
                newest_by_name[order.data_centre] = order
                is_changed = True
        if not is_changed:
            return self
        return replace(self, known=_most_important(newest_by_name.values()))

    def as_read(
        self, revisions_by_data_centre: Mapping[str, int], *, revision: int
    ) -> "Evacuations":
        """Return these after all orders were read from the store.

        Args:
            revisions_by_data_centre: Orders that are in the store, with the revision
                of each.
            revision: The store's revision that the reading holds for at least. An
                order that is older and wasn't found has been deleted.
        """
        found = [
            Evacuation(data_centre=name, revision=written, is_active=True)
            for name, written in revisions_by_data_centre.items()
        ]
        missing = [
            Evacuation(
                data_centre=order.data_centre, revision=revision, is_active=False
            )
            for order in self.known
            if order.is_active and order.data_centre not in revisions_by_data_centre
        ]
        unheard = replace(self, read_at=0) if revision > self.read_at else self
        after = unheard.joined(found + missing)
        return replace(after, read_at=max(revision, self.read_at))


def _most_important(orders: Iterable[Evacuation]) -> tuple[Evacuation, ...]:
    """Return active orders before those taken back, and the newest of each."""
    ranked = sorted(
        orders,
        key=lambda order: (order.is_active, order.revision, order.data_centre),
        reverse=True,
    )
    return tuple(sorted(ranked[:MAX_EVACUATIONS], key=lambda o: o.data_centre))
