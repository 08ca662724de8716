"""Heartbeats of a target's instances, in any order that the network allows.

Guards against serving an ended instance for good, so that the living one can't drain.
"""

import unittest
from dataclasses import dataclass

from hypothesis import given, settings, strategies as st

from monsoonpier.agent.packets.instance_history import (
    CONFIRMING_HEARTBEATS,
    InstanceHistory,
    UnconfirmedHeartbeat,
)
from monsoonpier.agent.packets.messages import TargetHeartbeat, TargetInstance

EXAMPLES = 400
STEPS = ("beat", "beat", "beat", "restart", "hold", "deliver", "repeat")


@dataclass(slots=True, kw_only=True)
class _Instance:
    run: TargetInstance
    sequence: int = 0
    held: TargetHeartbeat | None = None  # under way; a target waits for its response

    def next(self) -> TargetHeartbeat:
        self.sequence += 1
        return TargetHeartbeat(
            run=self.run,
            is_draining=False,
            slots=3,
            cold_seconds=0.0,
            sequence=self.sequence,
        )


class HistoryTests(unittest.TestCase):
    """Instances that start, crash, and have one heartbeat delayed each."""

    @settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
    @given(
        steps=st.lists(
            st.tuples(st.sampled_from(STEPS), st.integers(0, 5), st.booleans()),
            max_size=40,
        ),
        has_start_times=st.booleans(),
        step_back=st.booleans(),
    )
    def test_living_instance_is_believed(
        self, steps: list, has_start_times: bool, step_back: bool
    ) -> None:
        """After any history the living instance is served within two heartbeats."""
        history = InstanceHistory()
        instances = [self.create(0, has_start_times, step_back)]
        last: TargetHeartbeat | None = None
        for what, number, has_ended in steps:
            living = instances[-1]
            sender = instances[number % len(instances)]
            match what:
                case "beat" if living.held is None:
                    last = living.next()
                    history.classify(last, has_ended=has_ended)
                case "hold" if living.held is None:
                    living.held = living.next()
                case "deliver" if sender.held is not None:
                    last, sender.held = sender.held, None
                    history.classify(last, has_ended=has_ended)
                case "repeat" if last is not None:
                    history.classify(last, has_ended=False)
                case "restart":
                    created = self.create(len(instances), has_start_times, step_back)
                    instances.append(created)
        living = instances[-1]
        for _ in range(CONFIRMING_HEARTBEATS):
            outcome = history.classify(living.next(), has_ended=False)
        self.assertNotIsInstance(outcome, UnconfirmedHeartbeat)
        self.assertTrue(history.is_current(living.run))

    def create(self, number: int, has_start_time: bool, is_set_back: bool) -> _Instance:
        """Return an instance; the clock may have been set back before it started."""
        born = 1_000 - number if is_set_back else 1_000 + number
        return _Instance(
            run=TargetInstance(
                identity=f"i-{number}", born_ms=born if has_start_time else None
            )
        )
