"""Distinguishes a target's current instance from earlier ones by their heartbeats.

A target may restart under the same identity, and its sequence numbers then
start again. Delayed messages of the earlier instance must not replace the
newer one, and the first heartbeats of the newer one must not count as stale.
"""

from collections import deque
from dataclasses import dataclass

from monsoonpier.agent.packets.messages import TargetHeartbeat, TargetInstance

__all__ = [
    "CurrentHeartbeat",
    "InstanceHistory",
    "NewInstance",
    "StaleHeartbeat",
    "UnconfirmedHeartbeat",
]

# At most one heartbeat of an ended instance can be in transit, since a target waits
# for the response before it sends the next. So two show that an instance lives which
# doesn't report a later start, or which another one had replaced.
CONFIRMING_HEARTBEATS = 2
MAX_PREVIOUS_INSTANCES = 16  # instances that must be confirmed even after an end


@dataclass(frozen=True, slots=True, kw_only=True)
class NewInstance:
    """The first heartbeat of an instance that replaces the current one."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CurrentHeartbeat:
    """A heartbeat of the current instance that is not stale."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StaleHeartbeat:
    """An outdated heartbeat of the current instance, to ignore."""


@dataclass(frozen=True, slots=True, kw_only=True)
class UnconfirmedHeartbeat:
    """A heartbeat of an instance that may have ended, to ignore.

    It isn't acknowledged, so that a living target soon repeats it.
    """


class InstanceHistory:
    """The current instance of the target and those it replaced. Does no I/O."""

    def __init__(self) -> None:
        self._current: TargetInstance | None = None
        self._sequence = -1
        self._previous: deque[TargetInstance] = deque(maxlen=MAX_PREVIOUS_INSTANCES)
        self._unconfirmed: TargetInstance | None = None
        self._unconfirmed_sequences: set[int] = set()

    def is_current(self, instance: TargetInstance) -> bool:
        """Return whether this is the current instance."""
        return instance == self._current

    def classify(
        self, heartbeat: TargetHeartbeat, *, has_ended: bool
    ) -> NewInstance | CurrentHeartbeat | StaleHeartbeat | UnconfirmedHeartbeat:
        """Classify a heartbeat and record the instance that sent it.

        Args:
            heartbeat: The heartbeat.
            has_ended: Whether the current instance is known to have ended.
        """
        if heartbeat.run == self._current:
            return self._classify_current(heartbeat)
        if not self._replaces_current(heartbeat, has_ended=has_ended):
            return UnconfirmedHeartbeat()
        if heartbeat.run in self._previous:
            self._previous.remove(heartbeat.run)
        if self._current is not None:
            self._previous.append(self._current)
        self._current = heartbeat.run
        self._sequence = heartbeat.sequence
        self._clear_unconfirmed()
        return NewInstance()

    def _classify_current(
        self, heartbeat: TargetHeartbeat
    ) -> CurrentHeartbeat | StaleHeartbeat:
        if heartbeat.sequence <= self._sequence:
            return StaleHeartbeat()
        self._sequence = heartbeat.sequence
        self._clear_unconfirmed()
        return CurrentHeartbeat()

    def _replaces_current(self, heartbeat: TargetHeartbeat, *, has_ended: bool) -> bool:
        """Return whether a heartbeat shows that another instance lives now."""
        is_new = heartbeat.run not in self._previous
        if is_new and (has_ended or self._is_newer(heartbeat.run)):
            return True
        return self._confirm(heartbeat)

    def _is_newer(self, instance: TargetInstance) -> bool:
        """Return whether an instance is the first, or reports a later start."""
        current = self._current
        if current is None:
            return True
        if current.born_ms is None or instance.born_ms is None:
            return False
        return instance.born_ms > current.born_ms

    def _confirm(self, heartbeat: TargetHeartbeat) -> bool:
        """Count a heartbeat of an unconfirmed instance; return whether it is confirmed.

        The count starts again when a heartbeat of the current instance, or of
        another unconfirmed one, arrives.
        """
        if heartbeat.run != self._unconfirmed:
            self._clear_unconfirmed()
            self._unconfirmed = heartbeat.run
        self._unconfirmed_sequences.add(heartbeat.sequence)
        return len(self._unconfirmed_sequences) >= CONFIRMING_HEARTBEATS

    def _clear_unconfirmed(self) -> None:
        self._unconfirmed = None
        self._unconfirmed_sequences = set()
