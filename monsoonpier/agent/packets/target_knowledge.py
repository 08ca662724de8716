"""What an agent knows of its target's present run, and so of its flows.

An agent that saw the run begin knows all of its flows. One that has started beside a
running target doesn't; one that has found no target for long enough knows that there
are none.
"""

from monsoonpier.model.target import ABSENT_SECONDS

__all__ = ["TargetKnowledge"]


class TargetKnowledge:
    """Since when the target runs, and whether all of its flows are known. No I/O.

    Attributes:
        instance: Names the run; empty before the target has announced itself.
        knows_all: Flows that the agent doesn't know can't be open there.
    """

    def __init__(self) -> None:
        self.instance = b""
        self.knows_all = False
        self._began_at: float | None = None
        self._absent_since: float | None = None

    @property
    def is_absent(self) -> bool:
        """Whether nobody has listened at the target's address, nor spoken for it."""
        return not self.instance and self._absent_since is not None

    def is_replaced_by(self, instance: bytes) -> bool:
        """Tell whether a run takes the place of an earlier one."""
        return bool(self.instance) and instance != self.instance

    def met(
        self, instance: bytes, *, is_first: bool, is_young: bool, now: float
    ) -> None:
        """Take the first run that is heard of.

        Args:
            instance: Names the run.
            is_first: This agent has seen the run from its start.
            is_young: The run began a moment ago, if not under this agent's eyes.
            now: The present time.
        """
        self.instance = instance
        self.knows_all = is_first
        self._began_at = now if is_first or is_young else None

    def began(self, instance: bytes, *, now: float) -> None:
        """Take a run that begins, or an end after which nothing runs yet."""
        self.instance = instance
        self.knows_all = True
        self._began_at = now

    def absent(self, *, now: float) -> bool:
        """Note that nobody listens; tell whether that is new."""
        is_new = self._absent_since is None
        if self._absent_since is None:
            self._absent_since = now
        # One that has stopped listening to leave is gone by then, and one that
        # starts would have announced itself.
        self.knows_all = now - self._absent_since >= ABSENT_SECONDS
        return is_new

    def run_ms(self, *, now: float) -> int | None:
        """Return how long ago the run began; ``None`` if that isn't known."""
        if self._began_at is None:
            return None
        return round((now - self._began_at) * 1000)
