"""Orders in which versions of the configuration may reach a process."""

import itertools
import random
import unittest
from unittest import mock

from monsoonpier.balancer.actions import FetchConfiguration
from monsoonpier.balancer.membership import Membership
from monsoonpier.balancer.stored_configuration import (
    ConfigurationFormat,
    CurrentConfiguration,
)
from monsoonpier.documents.stored import pack
from monsoonpier.model.service import Configuration
from tests.rig import balancer

STORED_VERSIONS = (3, 5, 5, 9)  # of the store's answers; an order of one repeats
PEERS_VERSIONS = (1, 5, 7)  # of a copy and of peers' replies


def _decode(value: bytes) -> Configuration:
    return Configuration(version=int(value))


def _pack(value: bytes) -> bytes:
    return pack(value, service="")


class OrderTests(unittest.TestCase):
    """Answers of the store, a copy and peers, in every order."""

    def test_no_order_goes_back(self) -> None:
        """In no order does an older version replace a newer; the newest one stays."""
        received = [(v, False) for v in STORED_VERSIONS]
        received += [(v, True) for v in PEERS_VERSIONS]
        for order in set(itertools.permutations(received)):
            membership = Membership(own=balancer().peers.own)
            on_configured = mock.Mock()
            current = CurrentConfiguration(
                membership=membership,
                configuration_format=ConfigurationFormat(
                    decode=_decode, pack=mock.Mock()
                ),
                on_configured=on_configured,
            )
            held = 0
            for version, is_packed in order:
                value = b"%d" % version
                if is_packed:
                    current.apply_packed(_pack(value))
                else:
                    current.apply(value)
                self.assertEqual(current.version, max(held, version), order)
                held = current.version
            self.assertEqual(held, max(v for v, _ in received))

    def test_every_newer_gossip_causes_a_fetch(self) -> None:
        """While a peer has a newer version, each of its messages causes a fetch.

        A fetch that failed is thus repeated after the next message.
        """
        behind, ahead = balancer("b1"), balancer("b2", host=2)
        ahead.membership.configure(Configuration(version=5))
        for now in (1.0, 2.0, 3.0):
            for is_answer in (False, True):
                frame = ahead.peers.gossip(
                    version=5,
                    digest=ahead.membership.table.digest,
                    is_answer=is_answer,
                    is_converged=True,
                    evacuations=(),
                    store_generation=0,
                    draw=random.Random(1),
                )
                actions = behind.membership.from_process(
                    frame, sender=("10.2.0.2", 9000), now=now, draw=random.Random(1)
                )
                fetches = [a for a in actions if isinstance(a, FetchConfiguration)]
                self.assertEqual(len(fetches), 1)
