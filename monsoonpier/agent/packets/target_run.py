"""Which run of its target an agent serves, told by what targets say of themselves.

A target may start again under the identity that it had, knowing nothing, with
heartbeats that are counted from the beginning. What its earlier run said may still
arrive: it must not undo the newer run, nor must the newer run's first heartbeats be
taken for late ones.
"""

from collections import deque
from dataclasses import dataclass

from monsoonpier.agent.packets.announcement import TargetAnnouncement, TargetRun

__all__ = ["CurrentHeartbeat", "LateHeartbeat", "NewRun", "RunHistory"]

MAX_PAST_RUNS = 16  # whose late heartbeats may still be on their way
# A clock that was set back between two runs makes the newer one look older. One
# late heartbeat of a run that has ended may come, not two in a row: a target
# waits for an answer before it sends the next.
CONFIRMING_HEARTBEATS = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class NewRun:
    """The first word of a run that takes the place of the one before."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CurrentHeartbeat:
    """The newest word of the run that is served."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LateHeartbeat:
    """A word that something newer has overtaken, or that must be confirmed."""


class RunHistory:
    """The run that is served, and those whose place it has taken. Does no I/O."""

    def __init__(self) -> None:
        self._current: TargetRun | None = None
        self._sequence = -1
        self._past: deque[TargetRun] = deque(maxlen=MAX_PAST_RUNS)
        self._doubtful: TargetRun | None = None
        self._doubtful_sequences: set[int] = set()

    def is_current(self, run: TargetRun) -> bool:
        """Tell whether this is the run that is served."""
        return run == self._current

    def take(
        self, heard: TargetAnnouncement, *, has_ended: bool
    ) -> NewRun | CurrentHeartbeat | LateHeartbeat:
        """Take a heartbeat and tell what it is.

        Args:
            heard: The heartbeat.
            has_ended: The current run is known to have ended.
        """
        if heard.run == self._current:
            return self._take_current(heard)
        if heard.run in self._past:
            return LateHeartbeat()
        if not (has_ended or self._follows(heard.run) or self._is_confirmed(heard)):
            return LateHeartbeat()
        if self._current is not None:
            self._past.append(self._current)
        self._current = heard.run
        self._sequence = heard.sequence
        self._forget_doubtful()
        return NewRun()

    def _take_current(
        self, heard: TargetAnnouncement
    ) -> CurrentHeartbeat | LateHeartbeat:
        if heard.sequence <= self._sequence:
            return LateHeartbeat()
        self._sequence = heard.sequence
        self._forget_doubtful()
        return CurrentHeartbeat()

    def _follows(self, run: TargetRun) -> bool:
        """Tell whether a run is newer than the current one by its own word."""
        current = self._current
        if current is None or current.born_ms is None:
            return True
        return run.born_ms is not None and run.born_ms > current.born_ms

    def _is_confirmed(self, heard: TargetAnnouncement) -> bool:
        """Tell whether a run that looks older keeps speaking while none other does."""
        if heard.run != self._doubtful:
            self._forget_doubtful()
            self._doubtful = heard.run
        self._doubtful_sequences.add(heard.sequence)
        return len(self._doubtful_sequences) >= CONFIRMING_HEARTBEATS

    def _forget_doubtful(self) -> None:
        self._doubtful = None
        self._doubtful_sequences = set()
