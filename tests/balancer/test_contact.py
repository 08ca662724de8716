"""Whether a balancer should be sent callers' packets while others are silent."""

import unittest

from monsoonpier.balancer.contact import (
    ALONE_SILENT_SECONDS,
    CALM_SECONDS,
    MAX_HOLD_SECONDS,
    SILENT_SECONDS,
    Contact,
)


class ContactTests(unittest.TestCase):
    """A balancer that hears others each tenth of a second, until it doesn't."""

    def setUp(self) -> None:
        self.contact = Contact(now=0.0)
        self.now = 0.0

    def hear(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += 0.1
            self.contact.heard(has_peers=True, now=self.now)

    def pause(self, seconds: float) -> None:
        self.now += seconds

    @property
    def is_ready(self) -> bool:
        return self.contact.is_in_contact(has_peers=True, now=self.now)

    def seconds_until_ready(self) -> float:
        began = self.now
        while not self.is_ready:
            self.hear(0.1)
        return self.now - began

    def test_cut_off(self) -> None:
        """Silence of all others ends readiness in about a second."""
        self.hear(30.0)
        self.pause(SILENT_SECONDS - 0.05)
        self.assertTrue(self.is_ready)
        self.pause(0.1)
        self.assertFalse(self.is_ready)

    def test_back_at_once(self) -> None:
        """After long contact one frame is enough to be ready again."""
        self.hear(30.0)
        self.pause(6.0)
        self.hear(0.1)
        self.assertTrue(self.is_ready)

    def test_asks_before_it_gives_up(self) -> None:
        """Peers are asked out of turn while there is time for answers."""
        self.hear(30.0)
        self.pause(SILENT_SECONDS - 0.5)
        self.assertTrue(self.contact.should_ask(now=self.now))
        self.assertTrue(self.is_ready)

    def test_lost_frames(self) -> None:
        """A second without a frame is no loss of contact."""
        for _ in range(20):
            self.hear(0.1)
            self.pause(0.9)
            self.assertTrue(self.is_ready)

    def test_link_that_comes_and_goes(self) -> None:
        """Each further loss in a row makes it wait longer, within bounds."""
        self.hear(30.0)
        waits = []
        for _ in range(8):
            self.pause(3.0)
            self.hear(0.1)
            waits.append(round(self.seconds_until_ready(), 3))
        self.assertEqual(waits, sorted(waits))
        self.assertLess(waits[0], 0.1)
        self.assertAlmostEqual(waits[-1], MAX_HOLD_SECONDS, delta=0.2)

    def test_calm_again(self) -> None:
        """After long contact earlier losses count no more."""
        for _ in range(4):
            self.pause(3.0)
            self.hear(0.1)
        self.hear(CALM_SECONDS + 1)
        self.pause(3.0)
        self.hear(0.1)
        self.assertTrue(self.is_ready)

    def test_without_peers(self) -> None:
        """A balancer alone has only heartbeats to go by, which are rarer."""
        contact = Contact(now=0.0)
        contact.heard(has_peers=False, now=10.0)
        now = 10.0 + ALONE_SILENT_SECONDS - 0.1
        self.assertTrue(contact.is_in_contact(has_peers=False, now=now))
        now = 10.0 + ALONE_SILENT_SECONDS + 0.1
        self.assertFalse(contact.is_in_contact(has_peers=False, now=now))
