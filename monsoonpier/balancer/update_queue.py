"""Updates of the membership protocol that still have to be gossiped."""

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

__all__ = ["Portion", "UpdateQueue"]

MAX_UPDATES = 4_096

Item = TypeVar("Item")


@dataclass(frozen=True, slots=True, kw_only=True)
class _Update(Generic[Item]):
    """An item to send.

    Attributes:
        item: The item.
        size: Its size in a message, in bytes.
        sent: How many messages have carried it.
    """

    item: Item
    size: int
    sent: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Portion(Generic[Item]):
    """What one message carries of a queue.

    Attributes:
        items: The items.
        size: Their size in bytes.
    """

    items: tuple[Item, ...]
    size: int


class UpdateQueue(Generic[Item]):
    """Updates of one kind, of which the least often sent go first. Does no I/O.

    If those at the head were repeated until they are done, the others would wait
    meanwhile: with hundreds of updates, for minutes.
    """

    def __init__(self) -> None:
        self._sent_by_key: dict[Hashable, int] = {}
        # Each level holds the updates that as many messages have carried.
        self._levels: list[OrderedDict[Hashable, _Update[Item]]] = []
        self._size = 0

    def __len__(self) -> int:
        return len(self._sent_by_key)

    @property
    def size(self) -> int:
        """The size of all items, in bytes."""
        return self._size

    def add(self, key: Hashable, item: Item, *, size: int) -> None:
        """Queue an item in place of an earlier one with the same key.

        A full queue drops one of the updates that were sent most often.

        Args:
            key: Identifies what the item describes.
            item: The item.
            size: Its size in a message, in bytes.
        """
        if key in self._sent_by_key:
            self._remove(key)
        elif len(self) >= MAX_UPDATES:
            self._drop_one()
        self._insert(key, _Update(item=item, size=size))

    def take(self, *, count: int, room: int, max_sent: int) -> "Portion[Item]":
        """Return the items for one message.

        Args:
            count: How many items there may be.
            room: The limit of the sum of their sizes, in bytes.
            max_sent: How many messages carry an item before it is removed.
        """
        taken = self._first_that_fit(count=count, room=room)
        for key, update in taken:
            self._remove(key)
            if update.sent + 1 < max_sent:
                again = _Update(
                    item=update.item, size=update.size, sent=update.sent + 1
                )
                self._insert(key, again)
        return Portion(
            items=tuple(update.item for _, update in taken),
            size=sum(update.size for _, update in taken),
        )

    def _first_that_fit(
        self, *, count: int, room: int
    ) -> list[tuple[Hashable, _Update[Item]]]:
        found = []
        for level in self._levels:
            for key, update in level.items():
                room -= update.size
                if room < 0 or len(found) == count:
                    return found
                found.append((key, update))
        return found

    def _insert(self, key: Hashable, update: _Update[Item]) -> None:
        while len(self._levels) <= update.sent:
            self._levels.append(OrderedDict())
        self._levels[update.sent][key] = update
        self._sent_by_key[key] = update.sent
        self._size += update.size

    def _remove(self, key: Hashable) -> None:
        update = self._levels[self._sent_by_key.pop(key)].pop(key)
        self._size -= update.size

    def _drop_one(self) -> None:
        level = next(each for each in reversed(self._levels) if each)
        self._remove(next(iter(level)))
