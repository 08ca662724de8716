"""Detection of a store that was restored from a backup, by its generation.

The generation is learned from the store's answers and from gossip, so that a balancer
that can't reach the store learns of a restore too. No I/O.
"""

from monsoonpier.model.revision import MAX_GENERATION

__all__ = ["RESTORE_GRACE_SECONDS", "StoreGeneration"]

# After a restore, operators write the lost evacuation orders again. Before this
# time has passed, an order that is missing in the store may still be valid.
RESTORE_GRACE_SECONDS = 5.0


class StoreGeneration:
    """The newest known generation of the store.

    Attributes:
        number: The generation; 0 until one is learned, and for a store that was never
            restored.
        restores: How often a newer generation was learned.
        restores_by_source: The same by source, ``"store"`` or ``"peer"``.
    """

    def __init__(self) -> None:
        self.number = 0
        self.restores = 0
        self.restores_by_source: dict[str, int] = {}
        self._known_since: float | None = None

    def learn(self, number: int, *, source: str, now: float) -> bool:
        """Process a reported generation; return whether it reveals a restore.

        The first report never does, since the process has just started.
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
        self.restores += 1
        self.restores_by_source[source] = self.restores_by_source.get(source, 0) + 1
        return True

    def is_restore_grace_over(self, *, now: float) -> bool:
        """Return whether operators have had the time to write lost orders again."""
        if self.number == 0 or self._known_since is None:
            return True
        return now - self._known_since >= RESTORE_GRACE_SECONDS
