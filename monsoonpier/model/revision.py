"""A revision of the key-value service, across its returns from older copies.

The service counts its changes. When it comes back from a copy that is seconds old,
its count goes back too, and the numbers since are given out a second time: a number
alone no longer tells which of two changes came later. The service's generation, which
rises by one at each such return, decides first.
"""

from dataclasses import dataclass, replace

__all__ = ["MAX_GENERATION", "NO_REVISION", "Revision"]

MAX_GENERATION = 2**31 - 1  # a larger one is no count of returns


@dataclass(frozen=True, slots=True, kw_only=True, order=True)
class Revision:
    """A change's place in the service's history; a later one is greater.

    Attributes:
        generation: How often the service had come back from an older copy.
        number: Its own count of changes; 0 is before the first one.
    """

    generation: int = 0
    number: int = 0

    @property
    def next(self) -> "Revision":
        """The revision after this one, in the same generation."""
        return replace(self, number=self.number + 1)

    def __str__(self) -> str:
        """Return the number, with the generation before it unless that is 0."""
        if not self.generation:
            return str(self.number)
        return f"{self.generation}:{self.number}"


NO_REVISION = Revision()  # of a key that isn't there
