"""What a target's slots did with their time, by what its agent saw pass.

The load that it answers: all slots are wanted, so that each moment in which one runs
nothing while a flow waits is lost to everybody. A target's own figures don't show it:
a slot kept for a caller's first request counts as taken, though nothing runs on it.
"""

from collections import deque
from dataclasses import asdict, dataclass

from monsoonpier.process.readings import Histogram, Reading, counter

__all__ = ["SlotSeconds", "SlotUse"]

LINE_SECONDS = 5.0  # between two lines of one agent: a day stays readable
ROUNDED_TO = 3  # digits: milliseconds


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotSeconds:
    """Sums over the slots of one target, each slot by itself.

    Attributes:
        busy: Seconds in which slots ran a request.
        kept: Seconds in which slots ran nothing and were kept for the first request
            of a flow that had just been delivered: a handshake, or a caller that
            has left.
        idle: Seconds in which slots ran nothing, the kept ones with them.
        idle_while_queued: Those of them in which a flow waited at this agent.
        kept_in_vain: The kept ones of callers that then were silent for too long.
        runs: Requests answered.
        silent: Slots so kept.
        dropped: Slots kept for a flow that ended before its first request, or was
            opened at another target.
    """

    busy: float = 0.0
    kept: float = 0.0
    idle: float = 0.0
    idle_while_queued: float = 0.0
    kept_in_vain: float = 0.0
    runs: int = 0
    silent: int = 0
    dropped: int = 0

    def since(self, before: "SlotSeconds") -> "SlotSeconds":
        """Return what has come to it since an earlier moment."""
        earlier = asdict(before)
        gained = {name: value - earlier[name] for name, value in asdict(self).items()}
        return SlotSeconds(**gained)

    @property
    def seconds_by_use(self) -> dict[str, float]:
        """The times, as metrics label them."""
        return {
            "busy": self.busy,
            "kept": self.kept,
            "idle": self.idle,
            "idle_while_queued": self.idle_while_queued,
            "kept_in_vain": self.kept_in_vain,
        }

    @property
    def turns_by_outcome(self) -> dict[str, float]:
        """What became of slots that were given to a flow, as metrics label it."""
        return {"ran": self.runs, "silent": self.silent, "dropped": self.dropped}

    @property
    def fields(self) -> dict[str, float]:
        """All of it, as a log line names it."""
        times = {
            f"{use}_seconds": round(seconds, ROUNDED_TO)
            for use, seconds in self.seconds_by_use.items()
        }
        return times | {
            "runs": self.runs,
            "silent": self.silent,
            "dropped": self.dropped,
        }


class SlotUse:
    """Sums up the time of a target's slots. Does no I/O.

    Attributes:
        gap_seconds: From the end of a run to the beginning of the next one on that
            slot, where a flow waited or was on its way when the run ended.
    """

    def __init__(self) -> None:
        self._busy = 0.0
        self._kept = 0.0
        self._idle = 0.0
        self._idle_while_queued = 0.0
        self._kept_in_vain = 0.0
        self._kept_each = 0.0
        self._runs = 0
        self._silent = 0
        self._dropped = 0
        self._at: float | None = None
        self._slots = 0
        self._running = 0
        self._expected = 0
        self._kept_slots = 0
        self._queued = 0
        self._wanted_since: deque[float] = deque()
        self._lined_at: float | None = None
        self._lined = SlotSeconds()
        self.gap_seconds = Histogram(
            name="slot_gap_seconds",
            help="Between two runs of a slot while a flow waited.",
        )

    @property
    def total(self) -> SlotSeconds:
        """The sums since the start."""
        return SlotSeconds(
            busy=self._busy,
            kept=self._kept,
            idle=self._idle,
            idle_while_queued=self._idle_while_queued,
            kept_in_vain=self._kept_in_vain,
            runs=self._runs,
            silent=self._silent,
            dropped=self._dropped,
        )

    @property
    def readings(self) -> tuple[Reading, ...]:
        """What the metrics address shows of it."""
        total = self.total
        return (
            counter(
                "slot_seconds",
                "Of the target's slots; idle holds all others but busy.",
                total.seconds_by_use,
                "use",
            ),
            counter(
                "slot_turns",
                "What became of slots that were given to a flow.",
                total.turns_by_outcome,
                "outcome",
            ),
            self.gap_seconds,
        )

    def observe(
        self, *, slots: int, running: int, expected: int, queued: int, now: float
    ) -> None:
        """Count the time since the last call, and take what holds from now on.

        Args:
            slots: Those that take flows; none while the target takes no new ones.
            running: Requests that the target works on.
            expected: Flows whose first request is on its way.
            queued: Flows that wait at the agent.
            now: The present time.
        """
        self.settle(now=now)
        self._slots = slots
        self._running = min(slots, running)
        self._expected = expected
        self._kept_slots = min(slots - self._running, expected)
        self._queued = queued
        if not queued and not expected:
            self._wanted_since.clear()

    def settle(self, *, now: float) -> None:
        """Count the time since the last call; what held goes on."""
        if self._at is not None:
            self._count(max(0.0, now - self._at))
        self._at = now

    def kept_each(self, *, now: float) -> float:
        """Return the seconds that each flow has kept a slot that was always expected.

        Two readings of it tell what a flow that was expected between had of empty
        slots: more may be expected than slots are empty.
        """
        if self._at is None:
            return 0.0
        return self._kept_each + self._kept_share * max(0.0, now - self._at)

    @property
    def _kept_share(self) -> float:
        return self._kept_slots / self._expected if self._expected else 0.0

    def _count(self, seconds: float) -> None:
        empty = (self._slots - self._running) * seconds
        self._busy += self._running * seconds
        self._kept += self._kept_slots * seconds
        self._kept_each += self._kept_share * seconds
        self._idle += empty
        if self._queued:
            self._idle_while_queued += empty

    def run_began(self, *, now: float) -> None:
        """Note that a slot has begun to run a request."""
        if self._wanted_since:
            self.gap_seconds.observe(now - self._wanted_since.popleft())

    def run_ended(self, *, is_free: bool, is_wanted: bool, now: float) -> None:
        """Note that a request was answered.

        Args:
            is_free: The target has nothing else to run on that slot.
            is_wanted: A flow waits, or is on its way.
            now: The present time.
        """
        self._runs += 1
        if not is_wanted:
            return
        if is_free:
            self._wanted_since.append(now)
        else:
            self.gap_seconds.observe(0.0)

    def was_silent(self, *, seconds: float) -> None:
        """Count a flow whose request didn't come, and the time its slot was kept."""
        self._silent += 1
        self._kept_in_vain += seconds

    def was_dropped(self) -> None:
        """Count a slot that was kept for a flow that didn't come to a request."""
        self._dropped += 1

    def target_ended(self) -> None:
        """Forget the gaps of a run of the target that has ended."""
        self._wanted_since.clear()

    def line(self, *, now: float) -> SlotSeconds | None:
        """Return the use since the last line, if one is due and anything happened."""
        if self._lined_at is None:
            self._lined_at = now
        if now - self._lined_at < LINE_SECONDS:
            return None
        total = self.total
        used = total.since(self._lined)
        self._lined_at = now
        self._lined = total
        return used if used.runs or used.kept or used.idle_while_queued else None
