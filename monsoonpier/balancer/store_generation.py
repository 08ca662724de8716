"""Which generation of the store is the present one, as far as a balancer knows.

The store's answers and peers' gossip tell of it, so that a balancer which can't reach
the store hears of its return from an older copy all the same. No I/O.
"""

from monsoonpier.model.revision import MAX_GENERATION

__all__ = ["RESTATE_SECONDS", "StoreGeneration"]

# Operators write again what the store lost. Until then an order to evacuate that isn't
# found may be one that comes back. As long as an order may take to be in force anyway.
RESTATE_SECONDS = 5.0


class StoreGeneration:
    """The newest generation that anybody told of, and since when it is known.

    Attributes:
        number: The generation; 0 for a store that never came back from a copy, and
            until anybody tells of one.
        returns: How often a newer one was learned of.
        returns_by_source: The same by who told first.
    """

    def __init__(self) -> None:
        self.number = 0
        self.returns = 0
        self.returns_by_source: dict[str, int] = {}
        self._known_since: float | None = None

    def learn(self, number: int, *, source: str, now: float) -> bool:
        """Take word of a generation; tell whether the store has come back since.

        The first word says nothing of that: the process has just started.
        """
        is_first = self._known_since is None
        if not 0 <= number <= MAX_GENERATION or (
            not is_first and number <= self.number
        ):
            return False
        self.number = number
        self._known_since = now
        if is_first:
            return False
        self.returns += 1
        self.returns_by_source[source] = self.returns_by_source.get(source, 0) + 1
        return True

    def is_restated(self, *, now: float) -> bool:
        """Tell whether operators have had the time to write again what was lost."""
        if self.number == 0 or self._known_since is None:
            return True
        return now - self._known_since >= RESTATE_SECONDS
