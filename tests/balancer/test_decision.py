"""Balancer decisions on packets and frames, and convergence by gossip."""

import random
import unittest

from hypothesis import given, settings, strategies as st

from monsoonpier.balancer.actions import FetchConfiguration, ToAgent, ToCaller
from monsoonpier.balancer.evidence import FORGET_SECONDS, SUSPECT_SECONDS
from monsoonpier.model.keys import Key, KeyRing
from monsoonpier.model.service import Configuration
from monsoonpier.model.target import Condition, LoadReport
from monsoonpier.model.token import FlowToken, seal_token
from monsoonpier.wire.datagrams import (
    MIN_OPEN_BYTES,
    Open,
    OpenRejected,
    Ping,
    caller_codec,
    reply_codec,
)
from monsoonpier.wire.frames import (
    Announce,
    Heartbeat,
    OpenReturned,
    RecordQuery,
    ReplyDatagram,
    SilenceReport,
)
from tests.rig import CALLER, KEYS, balancer, record, service

FLOW = b"f" * 16
OPEN = caller_codec.encode(Open(flow=FLOW, padding=bytes(MIN_OPEN_BYTES)))


def send(to, payload: bytes, *, service_name: str = "maps", now: float = 1.0):
    """Pass a caller's packet to a balancer; return its action."""
    return to.from_caller(
        payload, caller=CALLER, service=service_name, now=now, draw=random.Random(1)
    )


def frame(to, message, *, sender=("10.1.0.1", 9000), now: float = 1.0) -> list:
    """Pass a frame of another process to a balancer; return its actions."""
    return to.from_process(message, sender=sender, now=now, draw=random.Random(1))


def heartbeat(target, *, number: int = 1) -> Heartbeat:
    """Return the heartbeat of a serving target."""
    load = LoadReport(number=number, condition=Condition.SERVING, age_ms=60_000)
    return Heartbeat(
        name=target.name, epoch=target.epoch, change=target.change, load=load
    )


def token_packet(*, flow: bytes = FLOW, service_name: str = "maps", keys=KEYS) -> bytes:
    """Return a packet of an established flow."""
    token = FlowToken(service=service_name, ip="10.1.0.7", port=9000, instance=b"i" * 8)
    sealed = seal_token(token, flow=flow, keys=keys)
    return caller_codec.encode(Ping(flow=FLOW, token=sealed, acked=1))


class PacketTests(unittest.TestCase):
    """Packets of established flows are forwarded by their token alone."""

    def test_empty_table(self):
        """A balancer without targets or configuration forwards by token."""
        new = balancer()
        new.membership.configuration = Configuration()
        action = send(new, token_packet())
        self.assertEqual(action.endpoint, ("10.1.0.7", 9000))

    def test_bad_packets_are_dropped(self):
        """Forged, foreign and malformed packets are dropped and counted."""
        other = KeyRing(keys=(Key(id=1, secret=b"o" * 32),))
        short = caller_codec.encode(Open(flow=FLOW))
        table = (
            (token_packet(keys=other), "forged_token"),
            (token_packet(flow=b"g" * 16), "forged_token"),
            (token_packet(service_name="logs"), "foreign_service"),
            (short, "short_open"),
            (b"\x01\x96\x02", "malformed"),
        )
        for payload, reason in table:
            with self.subTest(reason=reason):
                node = balancer()
                self.assertIsNone(send(node, payload))
                self.assertEqual(node.dropped_by_reason, {reason: 1})

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(tables=st.lists(st.sets(st.integers(1, 9)), min_size=2, max_size=5))
    def test_balancers_that_disagree(self, tables):
        """Balancers with different tables forward a flow to the same owner."""
        endpoints = set()
        for host, hosts in enumerate(tables, 1):
            one = balancer(f"b{host}", host=host)
            for number in hosts:
                of = record(f"maps-{number}", host=number)
                frame(one, Announce(record=of))
            endpoints.add(send(one, token_packet()).endpoint)
        self.assertEqual(endpoints, {("10.1.0.7", 9000)})


class OpenTests(unittest.TestCase):
    """New flows are placed, placed again after a rejection, or rejected."""

    def _with_targets(self, count: int):
        node = balancer()
        for number in range(1, count + 1):
            target = record(f"maps-{number}", host=number)
            frame(node, Announce(record=target))
            frame(node, heartbeat(target))
        return node

    def test_rejected_open_goes_to_another_target(self):
        """An OPEN that one agent rejects goes to another at once."""
        node = self._with_targets(2)
        first = send(node, OPEN)
        load = LoadReport(number=9, condition=Condition.LEAVING)
        returned = OpenReturned(
            service="maps",
            ip=CALLER[0],
            port=CALLER[1],
            payload=first.frame.payload,
            tried=first.frame.tried,
            reason="leaving",
            retry_after_ms=0,
            agent=first.frame.tried[0],
            load=load,
        )
        (second,) = frame(node, returned)
        self.assertIsInstance(second, ToAgent)
        self.assertNotEqual(second.endpoint, first.endpoint)
        last = OpenReturned(
            service="maps",
            ip=CALLER[0],
            port=CALLER[1],
            payload=OPEN,
            tried=second.frame.tried,
            reason="leaving",
            retry_after_ms=700,
            agent=second.frame.tried[-1],
            load=load,
        )
        (rejection,) = frame(node, last)
        self.assertIsInstance(rejection, ToCaller)
        message = reply_codec.decode(rejection.payload)
        self.assertIsInstance(message, OpenRejected)
        self.assertGreater(message.retry_after_ms, 300)

    def test_targets_that_are_not_allowed(self):
        """A target that the configuration doesn't allow gets no flow."""
        node = balancer()
        target = record("charts-1")
        frame(node, Announce(record=target))
        frame(node, heartbeat(target))
        self.assertIsInstance(send(node, OPEN), ToCaller)

    def test_announced_condition_is_newer(self):
        """An announced condition replaces the one in an earlier heartbeat."""
        node = balancer()
        target = record("maps-1")
        frame(node, Announce(record=target))
        load = LoadReport(number=1, condition=Condition.STARTING)
        frame(
            node,
            Heartbeat(
                name=target.name, epoch=target.epoch, change=target.change, load=load
            ),
        )
        self.assertIsInstance(send(node, OPEN), ToCaller)
        frame(node, Announce(record=target.with_condition(Condition.SERVING)))
        self.assertIsInstance(send(node, OPEN), ToAgent)

    def test_flows_in_flight_are_counted(self):
        """A load report doesn't reset the count of flows that it can't include."""
        node = self._with_targets(1)
        for _ in range(3):
            send(node, OPEN)
        reply = ReplyDatagram(
            service="maps",
            ip=CALLER[0],
            port=CALLER[1],
            payload=b"x",
            agent="maps-1",
            load=LoadReport(number=5, flows=1, condition=Condition.SERVING),
            opened=True,
        )
        frame(node, reply)
        (candidate,) = node.table.candidates(service(), now=1.0)
        self.assertEqual(candidate.placed, 3)

    def test_unknown_service(self):
        """An OPEN to a service that isn't configured is rejected."""
        self.assertIsInstance(send(balancer(), OPEN, service_name="nothing"), ToCaller)


class ConfigurationTests(unittest.TestCase):
    """A configuration is never replaced by an older one."""

    def test_never_older(self):
        """An older or equal version is rejected."""
        node = balancer()
        newer = Configuration(version=7, services_by_name={"maps": service()})
        self.assertTrue(node.membership.configure(newer))
        for version in (6, 7, 0):
            self.assertFalse(node.membership.configure(Configuration(version=version)))
        self.assertEqual(node.configuration, newer)

    def test_peer_with_newer_version_is_asked(self):
        """A balancer fetches a newer version from the peer that gossips it."""
        old, new = balancer("b1", host=1), balancer("b2", host=2)
        new.membership.configure(Configuration(version=5))
        gossip = new.membership.extra_gossip(
            ("10.2.0.1", 9000), now=1.0, draw=random.Random(1)
        ).frame
        actions = frame(old, gossip, sender=("10.2.0.2", 9000))
        wanted = [a for a in actions if isinstance(a, FetchConfiguration)]
        self.assertEqual([a.control for a in wanted], ["10.2.0.2:9001"])


class SuspicionTests(unittest.TestCase):
    """A lost or late datagram, or one broken link, doesn't make a target suspected."""

    def _with_observed_target(self):
        node = balancer()
        target = record("maps-1")
        frame(node, Announce(record=target))
        frame(node, heartbeat(target))
        return node, target

    def _report_silence(self, node, target, *, now: float) -> None:
        """Let two other observers report that a target is silent."""
        for observer in ("b2", "b3"):
            silence = SilenceReport(
                name=target.name, epoch=target.epoch, observer=observer, silent=True
            )
            node.table.record_silence(silence, now=now)

    def _is_suspected(self, node, *, now: float) -> bool:
        return node.table.candidates(service(), now=now)[0].suspected

    def test_one_missed_heartbeat(self):
        """Two missed heartbeats are not reported as silence."""
        node, _ = self._with_observed_target()
        self.assertEqual(node.table.changed_silences(observer="b1", now=3.5), [])

    def test_one_observer_is_not_enough(self):
        """A report of one observer alone doesn't make a target suspected."""
        node, target = self._with_observed_target()
        later = 1.0 + SUSPECT_SECONDS + 0.1
        node.table.changed_silences(observer="b1", now=later)
        self.assertFalse(self._is_suspected(node, now=later))
        second = SilenceReport(
            name=target.name, epoch=target.epoch, observer="b2", silent=True
        )
        node.table.record_silence(second, now=later)
        self.assertTrue(self._is_suspected(node, now=later))

    def test_own_heartbeats_outweigh_observers(self):
        """A balancer that receives a target's heartbeats doesn't suspect it."""
        node, target = self._with_observed_target()
        self._report_silence(node, target, now=1.0)
        self.assertFalse(self._is_suspected(node, now=1.5))

    def test_new_instance_clears_suspicion(self):
        """A new instance of a target isn't suspected for the earlier one's silence."""
        node, target = self._with_observed_target()
        self._report_silence(node, target, now=1.0)
        frame(node, Announce(record=record("maps-1", epoch=2)), now=30.0)
        self.assertFalse(self._is_suspected(node, now=30.0))

    def test_removed_after_long_silence(self):
        """A target is removed `FORGET_SECONDS` after it became suspected."""
        node, target = self._with_observed_target()
        self._report_silence(node, target, now=10.0)
        node.table.remove_expired(now=10.0 + FORGET_SECONDS - 1)
        self.assertEqual(len(node.table), 1)
        node.table.remove_expired(now=10.0 + FORGET_SECONDS + 1)
        self.assertEqual(len(node.table), 0)

    def test_older_record_is_rejected(self):
        """A delayed record doesn't replace a newer one."""
        node, target = self._with_observed_target()
        frame(node, Announce(record=target.with_condition(Condition.LEAVING)))
        frame(node, Announce(record=target))
        self.assertEqual(node.table.record("maps-1").condition, Condition.LEAVING)


class GossipTests(unittest.TestCase):
    """Updates reach every balancer in a few rounds."""

    def _rounds(self, count: int, *, rounds: int, drop: float = 0.0) -> list:
        draw = random.Random(3)
        nodes = [balancer(f"b{n}", host=n) for n in range(1, count + 1)]
        by_endpoint = {n.peers.own.endpoint: n for n in nodes}
        for node in nodes:
            for other in nodes:
                node.peers.learn(other.peers.own)
        frame(nodes[0], Announce(record=record("maps-1")))
        for number in range(rounds):
            now = number * 0.5
            queue = [
                (node, action)
                for node in nodes
                for action in node.membership.gossip_round(
                    now=now, draw=draw, eager=node.membership.has_updates
                )
            ]
            while queue:
                sender, action = queue.pop()
                if not isinstance(action, ToAgent) or draw.random() < drop:
                    continue
                if isinstance(action.frame, RecordQuery):
                    continue  # There are no agents here.
                receiver = by_endpoint[action.endpoint]
                answers = receiver.from_process(
                    action.frame,
                    sender=sender.peers.own.endpoint,
                    now=now,
                    draw=draw,
                )
                queue += [(receiver, answer) for answer in answers]
        return nodes

    def test_reaches_all(self):
        """An update reaches 60 balancers in 8 rounds with a tenth of frames lost."""
        nodes = self._rounds(60, rounds=8, drop=0.1)
        self.assertEqual([len(node.table) for node in nodes], [1] * 60)

    def test_equal_tables_have_equal_digests(self):
        """Digests depend on the records, not on the order of their arrival."""
        one, two = balancer("b1"), balancer("b2")
        for number in range(1, 30):
            frame(one, Announce(record=record(f"maps-{number}", host=number)))
        for number in range(29, 0, -1):
            frame(two, Announce(record=record(f"maps-{number}", host=number)))
        self.assertEqual(one.table.digest, two.table.digest)
        frame(two, Announce(record=record("maps-3", host=3, epoch=2)))
        self.assertNotEqual(one.table.digest, two.table.digest)
        unlike = two.table.records_in_differing_buckets(one.table.bucket_digests)
        self.assertIn("maps-3", [r.name for r in unlike])
        self.assertLess(len(unlike), 29)

    def test_dead_peer_is_excluded_and_comes_back(self):
        """A peer that doesn't answer is excluded until it sends a message."""
        draw = random.Random(1)
        one, two = balancer("b1", host=1), balancer("b2", host=2)
        one.peers.learn(two.peers.own)
        for _ in range(6):
            one.peers.pick_for_round(now=1.0, draw=draw)
        self.assertEqual(one.peers.pick_for_round(now=1.0, draw=draw), [])
        one.peers.received_from(two.peers.own)
        self.assertEqual(len(one.peers.pick_for_round(now=1.0, draw=draw)), 1)
