"""Choice of targets for new flows, also with outdated load reports."""

import random
import unittest
from collections import Counter

from monsoonpier.balancer.target_choice import (
    Candidate,
    Chosen,
    NoTarget,
    choose_target,
)
from monsoonpier.model.service import Preference
from monsoonpier.model.target import Condition, LoadReport
from tests.rig import record


def candidate(host: int, *, data_centre: str = "dc-1", **load) -> Candidate:
    """Return a serving target with that load."""
    sent_since = load.pop("sent_since", 0)
    suspected = load.pop("suspected", False)
    slots = load.pop("slots", 3)
    report = {"number": 1, "condition": Condition.SERVING, "age_ms": 60_000} | load
    return Candidate(
        record=record(f"maps-{host}", host=host, data_centre=data_centre, slots=slots),
        load=LoadReport(**report),
        sent_since=sent_since,
        suspected=suspected,
    )


def choose_many(candidates: list, *, count: int = 2000, **options) -> Counter:
    """Choose many times without feedback; count the targets by name."""
    draw = random.Random(5)
    fields = {
        "data_centre": "dc-1",
        "prefer": Preference.ANY,
        "cold_start_seconds": 10.0,
        "draw": draw,
    }
    counts: Counter = Counter()
    for _ in range(count):
        match choose_target(candidates, **fields | options):
            case Chosen(record=chosen):
                counts[chosen.name] += 1
            case NoTarget(reason=reason):
                counts[reason] += 1
    return counts


class ChoiceTests(unittest.TestCase):
    """Each property of a target has its effect on the choice."""

    def test_equal_targets_share(self):
        """Equal targets get about equal shares."""
        counts = choose_many([candidate(n) for n in range(1, 6)])
        self.assertLess(max(counts.values()) / 400, 1.2)

    def test_less_loaded_wins(self):
        """Of two candidates the less loaded one is chosen."""
        counts = choose_many([candidate(1, in_flight=3, queued=6), candidate(2)])
        self.assertEqual(counts, {"maps-2": 2000})

    def test_every_state_that_takes_nothing(self):
        """Targets in any condition but serving get no new flows."""
        for condition in Condition:
            if condition is Condition.SERVING:
                continue
            with self.subTest(condition=condition):
                counts = choose_many([candidate(1, condition=condition), candidate(2)])
                self.assertEqual(counts, {"maps-2": 2000})

    def test_relayed_leaving_outweighs_old_report(self):
        """A record in the leaving condition overrides a serving load report."""
        leaving = candidate(1)
        left = leaving.record.with_condition(Condition.LEAVING)
        leaving = Candidate(record=left, load=leaving.load)
        self.assertEqual(choose_many([leaving, candidate(2)]), {"maps-2": 2000})

    def test_connections_are_a_limit(self):
        """A target whose connections are used up gets no flow."""
        counts = choose_many([candidate(1, flows=2000), candidate(2)])
        self.assertEqual(counts, {"maps-2": 2000})

    def test_suspected_is_last_resort(self):
        """A suspected target is used only when there is no other."""
        suspected = candidate(1, suspected=True)
        self.assertEqual(choose_many([suspected, candidate(2)]), {"maps-2": 2000})
        self.assertEqual(choose_many([suspected]), {"maps-1": 2000})

    def test_cold_target_gets_less(self):
        """A target that has just started gets fewer flows."""
        counts = choose_many([candidate(1, age_ms=100), *map(candidate, (2, 3, 4))])
        self.assertLess(counts["maps-1"], 200)

    def test_slow_target_gets_less(self):
        """Of two targets with equal work the one with the shorter service time wins."""
        slow = candidate(1, service_ms=90, in_flight=1)
        fast = candidate(2, service_ms=30, in_flight=1)
        counts = choose_many([slow, fast, candidate(3, service_ms=30, in_flight=1)])
        self.assertLess(counts["maps-1"], 300)

    def test_tried_are_not_tried_again(self):
        """A target that rejected the OPEN isn't chosen again."""
        counts = choose_many([candidate(1), candidate(2)], tried=("maps-1",))
        self.assertEqual(counts, {"maps-2": 2000})
        counts = choose_many([candidate(1)], tried=("maps-1",))
        self.assertEqual(counts, {"no target is free": 2000})

    def test_local_first_with_overflow(self):
        """With local preference, flows leave the data centre only if it is busy."""
        far = candidate(2, data_centre="dc-2")
        counts = choose_many([candidate(1), far], prefer=Preference.LOCAL)
        self.assertEqual(counts, {"maps-1": 2000})
        busy = candidate(1, in_flight=3, queued=3)
        counts = choose_many([busy, far], prefer=Preference.LOCAL)
        self.assertEqual(counts, {"maps-2": 2000})

    def test_empty_table(self):
        """Without targets the result is a rejection with a retry delay."""
        choice = choose_target(
            [],
            data_centre="dc-1",
            prefer=Preference.ANY,
            cold_start_seconds=0,
            draw=random.Random(1),
        )
        self.assertEqual(choice.reason, "no targets")
        self.assertGreater(choice.retry_after, 0)

    def test_same_idle_target_in_stale_reports(self):
        """Balancers with the same stale report don't all choose the idle target."""
        placed: Counter = Counter()
        for number in range(30):
            draw = random.Random(number)
            sent: Counter = Counter()
            for _ in range(20):
                loads = [candidate(1, flows=0, sent_since=sent["maps-1"])]
                loads += [
                    candidate(n, flows=20, sent_since=sent[f"maps-{n}"])
                    for n in range(2, 8)
                ]
                chosen = choose_target(
                    loads,
                    data_centre="dc-1",
                    prefer=Preference.ANY,
                    cold_start_seconds=0,
                    draw=draw,
                )
                sent[chosen.record.name] += 1
            placed += sent
        # Two random choices alone bound its share to about 2/7.
        self.assertLess(placed["maps-1"] / 600, 0.36)
