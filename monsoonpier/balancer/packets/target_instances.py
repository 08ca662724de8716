"""Start times of target instances, as their agents report them.

A balancer that has just started may not know all agents yet, so it must not reset a
flow only because all known agents deny it. How long it waits for unknown agents depends
on whether the targets started with it, after a power loss, or were running before.
"""

from collections.abc import Iterable

from monsoonpier.model.target import ABSENT_SECONDS

__all__ = ["TargetInstances"]

MAX_NAMES = 16_384
SAME_OUTAGE_SECONDS = 3.0  # greatest difference of start times after a power loss


class TargetInstances:
    """Start times of targets, by name. Does no I/O."""

    def __init__(self) -> None:
        self._started_at_by_name: dict[str, float | None] = {}
        self._seen_from_start: set[str] = set()
        self._absent_since_by_name: dict[str, float] = {}

    def record(
        self,
        name: str,
        *,
        age_seconds: float | None,
        is_absent: bool = False,
        is_seen_from_start: bool = False,
        now: float,
    ) -> None:
        """Record an agent's report of its target's age.

        Args:
            name: The target's name.
            age_seconds: Time since the target started; ``None`` if unknown, as the
                agent started when the target was already running.
            is_absent: Whether the agent has found no target since its start.
            is_seen_from_start: Whether the agent has seen the target start.
                Otherwise its age may be an estimate.
            now: The current time.
        """
        self._started_at_by_name.pop(name, None)
        self._seen_from_start.discard(name)
        absent = self._absent_since_by_name
        if is_absent and (name in absent or len(absent) < MAX_NAMES):
            absent.setdefault(name, now)
            return
        absent.pop(name, None)
        started_at = None if age_seconds is None else now - age_seconds
        self._started_at_by_name[name] = started_at
        if is_seen_from_start:
            self._seen_from_start.add(name)
        if len(self._started_at_by_name) > MAX_NAMES:
            oldest = next(iter(self._started_at_by_name))
            del self._started_at_by_name[oldest]
            self._seen_from_start.discard(oldest)

    def all_seen_from_start(self, names: Iterable[str]) -> bool:
        """Return whether the agents of these targets have seen them start."""
        return self._seen_from_start.issuperset(names)

    def has_reported(self, name: str) -> bool:
        """Return whether an agent has reported on its target."""
        return name in self._started_at_by_name

    def reports_absence(self, name: str) -> bool:
        """Return whether an agent's last report was that it finds no target."""
        return name in self._absent_since_by_name

    def is_absent(self, name: str, *, now: float) -> bool:
        """Return whether an agent's target has been absent for `ABSENT_SECONDS`.

        The time counts from the first report of its absence, also if the agent sends
        no further report, as when its VM was removed.
        """
        since = self._absent_since_by_name.get(name, now)
        return now - since >= ABSENT_SECONDS

    def any_older_than_agent(self, names: Iterable[str]) -> bool:
        """Return whether any of these targets is older than its agent."""
        started_at_by_name = self._started_at_by_name
        return any(started_at_by_name.get(name, 0.0) is None for name in names)

    def any_started_before(
        self, names: Iterable[str], *, balancer_started_at: float
    ) -> bool:
        """Return whether any of these targets was running before the balancer started.

        Targets without a report are ignored; those of unknown age count as older.
        """
        earliest = balancer_started_at - SAME_OUTAGE_SECONDS
        known_names = [n for n in names if n in self._started_at_by_name]
        started_at = [self._started_at_by_name[name] for name in known_names]
        return any(at is None or at <= earliest for at in started_at)

    def all_started_around(
        self, names: Iterable[str], *, balancer_started_at: float
    ) -> bool:
        """Return whether all of these targets started about when the balancer did.

        Targets that are absent are ignored. If the result is true, power was lost
        everywhere, and no flow from before is open.
        """
        earliest = balancer_started_at - SAME_OUTAGE_SECONDS
        latest = balancer_started_at + SAME_OUTAGE_SECONDS
        present = [name for name in names if name not in self._absent_since_by_name]
        started_at = [self._started_at_by_name.get(name) for name in present]
        return bool(started_at) and all(
            at is not None and earliest < at < latest for at in started_at
        )
