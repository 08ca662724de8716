"""The order of an observer's reports of silence."""

import unittest

import msgspec

from monsoonpier.model.target import Condition, LoadReport
from monsoonpier.wire.frames import SilenceReport
from tests.rig import balancer, record, service

NOW = 100.0


def report(number: int, *, silent: bool, observer: str = "b2", epoch: int = 5):
    """Return an observer's numbered report on ``maps-1``."""
    return SilenceReport(
        name="maps-1",
        epoch=1,
        observer=observer,
        silent=silent,
        observer_epoch=epoch,
        number=number,
    )


class SilenceOrderTests(unittest.TestCase):
    """Reports that arrive late, or again, change nothing and aren't passed on."""

    def setUp(self) -> None:
        self.table = balancer().table
        self.table.learn(record("maps-1"), now=NOW)
        self.table.record_silence(report(1, silent=True, observer="b3"), now=NOW)

    def receive(self, silence: SilenceReport) -> bool:
        """Receive a report; return whether it is passed on."""
        return self.table.record_silence(silence, now=NOW)

    def is_silent(self) -> bool:
        """Return whether the reports of b2 and b3 make the target suspected."""
        return self.table.candidates(service(), now=NOW)[0].suspected

    def test_late_reports_are_no_news(self):
        """Two reports of one observer don't supersede each other forever."""
        silent, heard = report(1, silent=True), report(2, silent=False)
        sequence = (silent, heard, silent, heard, silent)
        passed_on = [self.receive(each) for each in sequence]
        self.assertEqual(passed_on, [True, True, False, False, False])
        self.assertFalse(self.is_silent())

    def test_earlier_report_arrives_second(self):
        """A "silent" that arrives after the later "heard again" doesn't count."""
        self.receive(report(2, silent=False))
        self.receive(report(1, silent=True))
        self.assertFalse(self.is_silent())

    def test_restarted_observer_begins_anew(self):
        """A report of a later process of the observer is news at any number."""
        self.receive(report(9, silent=True))
        self.assertTrue(self.receive(report(1, silent=False, epoch=6)))
        self.assertFalse(self.is_silent())

    def test_reports_of_older_builds(self):
        """They count, but neither are passed on nor supersede a numbered one."""
        unranked = report(0, silent=True, epoch=0)
        self.assertFalse(self.receive(unranked))
        self.assertTrue(self.is_silent())
        self.receive(report(1, silent=False))
        self.receive(unranked)
        self.assertFalse(self.is_silent())

    def test_own_reports_are_numbered(self):
        """A balancer's reports on a target have increasing ranks."""
        load = LoadReport(number=1, condition=Condition.SERVING)
        ranks = []
        for now in (NOW, NOW + 10):
            self.table.record_heartbeat("maps-1", load, now=now)
            for later in (now, now + 4):
                changed = self.table.changed_silences(
                    observer="b1", observer_epoch=4, now=later
                )
                ranks += [silence.rank for silence in changed]
        self.assertEqual(ranks, [(4, 1), (4, 2), (4, 3)])


class OlderReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True, gc=False):
    """A `SilenceReport` as builds without ranks define it."""

    name: str
    epoch: int
    observer: str
    silent: bool


class OlderBuildTests(unittest.TestCase):
    """Builds with and without numbered reports decode each other's reports."""

    def test_both_ways(self):
        """An older build ignores the rank; a missing one means "not numbered"."""
        ranked = report(3, silent=True)
        older = msgspec.msgpack.decode(msgspec.msgpack.encode(ranked), type=OlderReport)
        self.assertEqual((older.name, older.observer), ("maps-1", "b2"))
        relayed = msgspec.msgpack.encode(older)
        again = msgspec.msgpack.decode(relayed, type=SilenceReport)
        self.assertTrue(again.silent)
        self.assertFalse(again.is_ranked)
