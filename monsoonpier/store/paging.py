"""A reading that comes in pages, as one snapshot."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from monsoonpier.model.revision import Revision
from monsoonpier.store.interface import KeyValue, Snapshot, StoreError

__all__ = ["Page", "read_pages"]

MAX_PAGES = 64  # 500 items each: seven times the balancers aimed at


@dataclass(frozen=True, slots=True, kw_only=True)
class Page:
    """A part of what was asked for; ``next_after`` is empty on the last one."""

    revision: Revision
    values: tuple[KeyValue, ...]
    next_after: str = ""


async def read_pages(read_page: Callable[[str], Awaitable[Page]]) -> Snapshot:
    """Return all pages' values at the earliest page's revision.

    Pages are not a snapshot: what holds for the earliest one holds for all.

    Args:
        read_page: Returns the page that begins after a key.

    Raises:
        StoreError: As ``read_page`` does, and if pages are of two generations.
    """
    first = page = await read_page("")
    values = list(first.values)
    for _ in range(MAX_PAGES - 1):
        if not page.next_after:
            break
        page = await read_page(page.next_after)
        if page.revision.generation != first.revision.generation:
            raise StoreError("the store came back from a copy between two pages")
        values += page.values
    return Snapshot(
        revision=first.revision,
        values_by_key={value.key: value for value in values},
    )
