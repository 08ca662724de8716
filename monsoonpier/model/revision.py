"""A revision of the key-value store that stays ordered across restores.

The store counts its changes. When it is restored from a backup, its count goes
back, and later changes get numbers that were used before, so numbers alone
do not show which of two changes is the later one. The generation, which grows
by one at each restore, is compared first.
"""

from dataclasses import dataclass, replace

__all__ = ["MAX_GENERATION", "NO_REVISION", "Revision"]

MAX_GENERATION = 2**31 - 1  # larger numbers are invalid


@dataclass(frozen=True, slots=True, kw_only=True, order=True)
class Revision:
    """A change's position in the history of the store; later changes are greater.

    Attributes:
        generation: How often the store has been restored from a backup.
        number: The store's own count of changes; 0 is before the first one.
    """

    generation: int = 0
    number: int = 0

    @property
    def next(self) -> "Revision":
        """The next revision of the same generation."""
        return replace(self, number=self.number + 1)

    @property
    def previous(self) -> "Revision":
        """The revision before this one, in the same generation."""
        return replace(self, number=self.number - 1)

    def __str__(self) -> str:
        """Return the number, prefixed by the generation unless that is 0."""
        if not self.generation:
            return str(self.number)
        return f"{self.generation}:{self.number}"


NO_REVISION = Revision()  # of a key that doesn't exist
