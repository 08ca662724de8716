"""What agents have said of their targets' runs: did targets outlive their agents?

A balancer that has just started may not know all agents yet, so the word of those
it knows isn't enough to reset a flow. How long it must wait for others depends on
what happened before its start, which the agents' answers tell.
"""

from collections.abc import Iterable

from monsoonpier.model.target import ABSENT_SECONDS

__all__ = ["TargetRuns"]

MAX_NAMES = 16_384  # three times the targets aimed at
SAME_OUTAGE_SECONDS = 3.0  # between two VMs' starts after a loss of power


class TargetRuns:
    """The beginnings of targets' runs as their agents tell. Does no I/O."""

    def __init__(self) -> None:
        self._began_at_by_name: dict[str, float | None] = {}
        self._absent_since_by_name: dict[str, float] = {}

    def told(
        self,
        name: str,
        *,
        run_seconds: float | None,
        is_absent: bool = False,
        now: float,
    ) -> None:
        """Take an agent's word on how long ago its target's run began.

        Args:
            name: The target's.
            run_seconds: ``None`` if the agent can't tell: it has started beside
                a target that was running already.
            is_absent: Nobody listens at the target's address, nor has since the
                agent's start: the run of others tells what happened.
            now: The present time.
        """
        self._began_at_by_name.pop(name, None)
        absent = self._absent_since_by_name
        if is_absent and (name in absent or len(absent) < MAX_NAMES):
            absent.setdefault(name, now)
            return
        absent.pop(name, None)
        began_at = None if run_seconds is None else now - run_seconds
        self._began_at_by_name[name] = began_at
        if len(self._began_at_by_name) > MAX_NAMES:
            del self._began_at_by_name[next(iter(self._began_at_by_name))]

    def has_told(self, name: str) -> bool:
        """Tell whether an agent has spoken of its target's run."""
        return name in self._began_at_by_name

    def is_absent(self, name: str, *, now: float) -> bool:
        """Tell whether no target can be left at an agent that has found none.

        The agent may have been given up with its VM since.
        """
        since = self._absent_since_by_name.get(name, now)
        return now - since >= ABSENT_SECONDS

    def lived_on(self, names: Iterable[str]) -> bool:
        """Tell whether an agent has started beside a running target."""
        began_at_by_name = self._began_at_by_name
        return any(began_at_by_name.get(name, 0.0) is None for name in names)

    def any_began_before(self, names: Iterable[str], *, started_at: float) -> bool:
        """Tell whether one of these targets is known to be older than this balancer."""
        earliest = started_at - SAME_OUTAGE_SECONDS
        told = [n for n in names if n in self._began_at_by_name]
        began_at = [self._began_at_by_name[name] for name in told]
        return any(at is None or at <= earliest for at in began_at)

    def all_began_with(self, names: Iterable[str], *, started_at: float) -> bool:
        """Tell whether all of these targets began about when this balancer did.

        Then power was lost everywhere, and no flow is left from before.
        """
        earliest = started_at - SAME_OUTAGE_SECONDS
        latest = started_at + SAME_OUTAGE_SECONDS
        present = [name for name in names if name not in self._absent_since_by_name]
        began_at = [self._began_at_by_name.get(name) for name in present]
        return bool(began_at) and all(
            at is not None and earliest < at < latest for at in began_at
        )
