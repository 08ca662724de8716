"""Updates of the membership protocol that still have to be gossiped."""

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

__all__ = ["UpdateQueue"]

MAX_UPDATES = 4_096

Item = TypeVar("Item")


@dataclass(frozen=True, slots=True, kw_only=True)
class _Update(Generic[Item]):
    """An item to send.

    Attributes:
        item: The item.
        size: How much of a message's room it takes.
        sent: How many messages have carried it.
    """

    item: Item
    size: int
    sent: int = 0


class UpdateQueue(Generic[Item]):
    """Updates of one kind, of which the least often sent go first. Does no I/O.

    If those at the head were repeated until they are done, the others would wait
    meanwhile: with hundreds of updates, for minutes.
    """

    def __init__(self) -> None:
        self._sent_by_key: dict[Hashable, int] = {}
        # Each level holds the updates that as many messages have carried.
        self._levels: list[OrderedDict[Hashable, _Update[Item]]] = []

    def __len__(self) -> int:
        return len(self._sent_by_key)

    def add(self, key: Hashable, item: Item, *, size: int = 1) -> None:
        """Queue an item in place of an earlier one with the same key.

        A full queue drops one of the updates that were sent most often.
        """
        if key in self._sent_by_key:
            self._remove(key)
        elif len(self) >= MAX_UPDATES:
            self._drop_one()
        self._insert(key, _Update(item=item, size=size))

    def take(self, *, room: int, max_sent: int) -> tuple[Item, ...]:
        """Return the items for one message.

        Args:
            room: The limit of the sum of the items' sizes.
            max_sent: How many messages carry an item before it is removed.
        """
        taken = self._first_that_fit(room)
        for key, update in taken:
            self._remove(key)
            if update.sent + 1 < max_sent:
                again = _Update(
                    item=update.item, size=update.size, sent=update.sent + 1
                )
                self._insert(key, again)
        return tuple(update.item for _, update in taken)

    def _first_that_fit(self, room: int) -> list[tuple[Hashable, _Update[Item]]]:
        found = []
        for level in self._levels:
            for key, update in level.items():
                room -= update.size
                if room < 0:
                    return found
                found.append((key, update))
        return found

    def _insert(self, key: Hashable, update: _Update[Item]) -> None:
        while len(self._levels) <= update.sent:
            self._levels.append(OrderedDict())
        self._levels[update.sent][key] = update
        self._sent_by_key[key] = update.sent

    def _remove(self, key: Hashable) -> None:
        del self._levels[self._sent_by_key.pop(key)][key]

    def _drop_one(self) -> None:
        level = next(each for each in reversed(self._levels) if each)
        self._remove(next(iter(level)))
