"""Readiness of a balancer that receives no frames of other processes."""

import unittest

from monsoonpier.balancer.contact import (
    ALONE_SILENT_SECONDS,
    MAX_HOLD_SECONDS,
    SILENT_SECONDS,
    STABLE_SECONDS,
    ContactMonitor,
)


class ContactTests(unittest.TestCase):
    """A balancer receives frames each tenth of a second, with pauses."""

    def setUp(self) -> None:
        self.contact = ContactMonitor(now=0.0)
        self.now = 0.0

    def receive(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += 0.1
            self.contact.frame_received(has_peers=True, now=self.now)

    def pause(self, seconds: float) -> None:
        self.now += seconds

    @property
    def is_ready(self) -> bool:
        return self.contact.is_in_contact(has_peers=True, now=self.now)

    def seconds_until_ready(self) -> float:
        began = self.now
        while not self.is_ready:
            self.receive(0.1)
        return self.now - began

    def test_cut_off(self) -> None:
        """Silence of all other processes ends readiness after `SILENT_SECONDS`."""
        self.receive(30.0)
        self.pause(SILENT_SECONDS - 0.05)
        self.assertTrue(self.is_ready)
        self.pause(0.1)
        self.assertFalse(self.is_ready)

    def test_back_at_once(self) -> None:
        """After stable contact one frame is enough to be ready again."""
        self.receive(30.0)
        self.pause(6.0)
        self.receive(0.1)
        self.assertTrue(self.is_ready)

    def test_probes_before_it_is_silent(self) -> None:
        """Peers are probed while there is time for their answers."""
        self.receive(30.0)
        self.pause(SILENT_SECONDS - 0.5)
        self.assertTrue(self.contact.should_probe(now=self.now))
        self.assertTrue(self.is_ready)

    def test_lost_frames(self) -> None:
        """A gap below `SILENT_SECONDS` is no loss of contact."""
        for _ in range(20):
            self.receive(0.1)
            self.pause(0.9)
            self.assertTrue(self.is_ready)

    def test_unstable_link(self) -> None:
        """Each further loss in a row lengthens the hold-down, up to its maximum."""
        self.receive(30.0)
        waits = []
        for _ in range(8):
            self.pause(3.0)
            self.receive(0.1)
            waits.append(round(self.seconds_until_ready(), 3))
        self.assertEqual(waits, sorted(waits))
        self.assertLess(waits[0], 0.1)
        self.assertAlmostEqual(waits[-1], MAX_HOLD_SECONDS, delta=0.2)

    def test_stable_again(self) -> None:
        """Stable contact resets the hold-down."""
        for _ in range(4):
            self.pause(3.0)
            self.receive(0.1)
        self.receive(STABLE_SECONDS + 1)
        self.pause(3.0)
        self.receive(0.1)
        self.assertTrue(self.is_ready)

    def test_without_peers(self) -> None:
        """Without peers the limit is `ALONE_SILENT_SECONDS`."""
        contact = ContactMonitor(now=0.0)
        contact.frame_received(has_peers=False, now=10.0)
        now = 10.0 + ALONE_SILENT_SECONDS - 0.1
        self.assertTrue(contact.is_in_contact(has_peers=False, now=now))
        now = 10.0 + ALONE_SILENT_SECONDS + 0.1
        self.assertFalse(contact.is_in_contact(has_peers=False, now=now))
