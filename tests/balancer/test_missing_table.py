"""A balancer that has started and gets no answer to its requests for the table."""

import random
import unittest

from monsoonpier.balancer.actions import FetchTable
from monsoonpier.balancer.membership import (
    ALONE_SECONDS,
    MISSING_TABLE_SECONDS,
    Membership,
)
from monsoonpier.wire.frames import Announce, Gossip
from tests.rig import balancer, record

STARTED_AT = 100.0


class MissingTableTests(unittest.TestCase):
    """One agent has announced itself, and a peer knows more targets."""

    def setUp(self):
        own = balancer("b1").peers.own
        self.membership = Membership(own=own, started_at=STARTED_AT)
        self.peer = balancer("b2", host=2).peers.own
        self._receive(Announce(record=record("maps-1")), now=STARTED_AT + 0.1)

    def _receive(self, frame, *, now: float) -> list:
        return self.membership.from_process(
            frame, sender=self.peer.endpoint, now=now, draw=random.Random(1)
        )

    def _gossip(self, *, is_converged: bool) -> list:
        frame = Gossip(
            sender=self.peer,
            version=0,
            digest=b"other",
            is_answer=True,
            is_converged=is_converged,
        )
        return self._receive(frame, now=STARTED_AT + 0.3)

    def _is_converged_after(self, seconds: float) -> bool:
        return self.membership.is_converged(now=STARTED_AT + seconds)

    def test_unanswered_request(self):
        """While a converged peer's table is missing, not all targets are known.

        Guards against resets of living flows whose targets only the peers know.
        """
        actions = self._gossip(is_converged=True)
        self.assertEqual(actions, [FetchTable(control=self.peer.control)])
        self.assertFalse(self._is_converged_after(ALONE_SECONDS))
        self.assertTrue(self._is_converged_after(MISSING_TABLE_SECONDS))

    def test_answered_request(self):
        """A table that has come ends the longer wait."""
        self._gossip(is_converged=True)
        self.membership.learn_records((record("maps-2", host=2),), now=STARTED_AT + 2)
        self.assertTrue(self._is_converged_after(ALONE_SECONDS))

    def test_peer_that_has_started_too(self):
        """A peer that hasn't converged either is no reason to wait longer."""
        self._gossip(is_converged=False)
        self.assertTrue(self._is_converged_after(ALONE_SECONDS))
