"""The store's generation, read from a header of its HTTP responses."""

from collections.abc import Iterable, Mapping

import structlog

from monsoonpier.model.revision import MAX_GENERATION, Revision
from monsoonpier.store.interface import Compare

__all__ = ["GenerationTracker"]

_MAX_DIGITS = len(str(MAX_GENERATION))
_MAX_LOGGED = 40  # characters of a malformed header
_log = structlog.get_logger("monsoonpier.store.generation")


class GenerationTracker:
    """Reads the generation header and keeps the newest generation seen.

    Args:
        name: The header's name, in lower case.
    """

    def __init__(self, *, name: str) -> None:
        self._name = name
        self.newest = 0

    def update(self, headers_by_name: Mapping[str, str]) -> None:
        """Update ``newest`` from a response; log and ignore a malformed header."""
        generation = self._generation_in(headers_by_name)
        if generation is not None:
            self.newest = max(generation, self.newest)
        elif self._name in headers_by_name:
            text = headers_by_name[self._name][:_MAX_LOGGED]
            _log.warning(
                "malformed generation header ignored", header=self._name, text=text
            )

    def revision(self, headers_by_name: Mapping[str, str], number: int = 0) -> Revision:
        """Return the revision ``number`` in the generation that a response reports.

        If the response has no valid header, the newest generation is used.
        """
        reported = self._generation_in(headers_by_name)
        generation = self.newest if reported is None else reported
        return Revision(generation=generation, number=number)

    def stale_keys(self, compares: Iterable[Compare]) -> list[str]:
        """Return the keys whose conditions refer to an earlier generation.

        The store may have reused the revision numbers of these conditions.
        """
        return [
            compare.key
            for compare in compares
            if compare.mod_revision.number
            and compare.mod_revision.generation < self.newest
        ]

    def _generation_in(self, headers_by_name: Mapping[str, str]) -> int | None:
        text = headers_by_name.get(self._name, "")
        is_number = text.isascii() and text.isdecimal() and len(text) <= _MAX_DIGITS
        if not is_number or int(text) > MAX_GENERATION:
            return None
        return int(text)
