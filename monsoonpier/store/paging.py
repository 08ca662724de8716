"""Paged reads combined into one snapshot."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from monsoonpier.model.revision import Revision
from monsoonpier.store.interface import KeyValue, Snapshot, StoreError

__all__ = ["Page", "read_pages"]

MAX_PAGES = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class Page:
    """One page of a read; ``continue_after`` is empty on the last page."""

    revision: Revision
    values: tuple[KeyValue, ...]
    continue_after: str = ""


async def read_pages(read_page: Callable[[str], Awaitable[Page]]) -> Snapshot:
    """Read all pages and return their values with the first page's revision.

    Pages are read at different revisions. A watch from the first page's revision
    misses no change in any of them.

    Args:
        read_page: Returns the page that begins after a key.

    Raises:
        StoreError: If ``read_page`` raises it, or the store's generation changes
            between two pages.
    """
    first = page = await read_page("")
    values = list(first.values)
    for _ in range(MAX_PAGES - 1):
        if not page.continue_after:
            break
        page = await read_page(page.continue_after)
        if page.revision.generation != first.revision.generation:
            raise StoreError("the store was restored from a backup between two pages")
        values += page.values
    return Snapshot(
        revision=first.revision,
        values_by_key={value.key: value for value in values},
    )
