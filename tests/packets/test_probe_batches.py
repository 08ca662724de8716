"""Probes of several flows in one frame, and agents' denials of them."""

import itertools
import unittest

from monsoonpier.agent.packets.denials import DenialBatches
from monsoonpier.model.keys import Key, KeyRing
from monsoonpier.wire.frames import (
    MAX_FRAME_BYTES,
    MAX_QUERIED_FLOWS,
    FlowNotOwned,
    FrameCodec,
    OwnershipReply,
    RelayPacket,
)
from tests.packets.rig import (
    BALANCER,
    CONVERGED,
    OTHER_BALANCER,
    SteeringRig,
    answer,
    carry,
    frames,
    owner,
    packet,
    replace,
    resets,
)

CODEC = FrameCodec(keys=KeyRing(keys=(Key(id=1, secret=b"k" * 32),)))
ENDPOINTS = (("10.2.0.2", 7720), ("10.2.0.3", 7720))


class RelayTests(unittest.TestCase):
    """A balancer whose agents can't know the flows of their targets."""

    def probes(
        self, *, flows: int, targets: int, packet_bytes: int, rounds: int = 1
    ) -> list:
        """Look up so many flows at once; return the relay frames of the last round."""
        rig = SteeringRig(targets=targets)
        for number in range(flows):
            sent = packet(number)
            raw = sent.flow + bytes(packet_bytes - len(sent.flow))
            rig.caller(replace(sent, raw=raw), now=CONVERGED)
        rig.steering.retry(now=CONVERGED + 0.1, draw=rig.draw)
        for now in (CONVERGED + 0.11 + n for n in range(rounds)):
            for question in tuple(rig.steering._resolver._queries._sent_by_number):
                for number in range(1, targets + 1):
                    reply = OwnershipReply(
                        question=question,
                        agent=f"maps-{number}",
                        held=(),
                        is_conclusive=False,
                        run_ms=300,
                    )
                    rig.agent(reply, now=now)
            sent = rig.steering.retry(now=now + 0.01, draw=rig.draw)
        return [a.frame for a in sent if isinstance(a.frame, RelayPacket)]

    def test_flows_share_a_frame(self) -> None:
        """Each flow is probed once, and frames with several packets fit the MTU."""
        for flows, targets in ((1, 12), (5, 12), (70, 12), (5, 36)):
            with self.subTest(flows=flows, targets=targets):
                relays = self.probes(flows=flows, targets=targets, packet_bytes=160)
                sent = [raw for frame in relays for raw in frame.payloads]
                self.assertEqual(len(set(sent)), flows)
                self.assertEqual(len(sent), flows)
                self.assertLessEqual(len(relays), 1 + flows // 3)
                sizes = [len(CODEC.encode(frame)) for frame in relays]
                self.assertLessEqual(max(sizes), 1_450)

    def test_repeated_probes(self) -> None:
        """A repeated probe shares no frame: an older agent relays the first packet."""
        relays = self.probes(flows=5, targets=12, packet_bytes=160, rounds=2)
        self.assertEqual([len(frame.payloads) for frame in relays], [1] * 5)

    def test_large_packets(self) -> None:
        """A packet that leaves no room for another has a frame of its own."""
        relays = self.probes(flows=4, targets=36, packet_bytes=1_231)
        self.assertEqual([len(frame.payloads) for frame in relays], [1] * 4)
        sizes = [len(CODEC.encode(frame)) for frame in relays]
        self.assertLessEqual(max(sizes), MAX_FRAME_BYTES)

    def test_agent_relays_all_packets(self) -> None:
        """Each of the other agents gets each packet, with the balancer's address."""
        first, second = packet(1), packet(2)
        frame = RelayPacket(
            service="maps",
            payload=first.raw,
            endpoints=ENDPOINTS,
            takes_batches=True,
            others=(second.raw,),
        )
        actions = owner().relay(frame, balancer=BALANCER)
        sent = {(a.endpoint, a.frame.payload) for a in actions}
        payloads = (first.raw, second.raw)
        self.assertEqual(sent, {(e, raw) for e in ENDPOINTS for raw in payloads})
        self.assertEqual({a.frame.reply_to for a in actions}, {BALANCER})
        self.assertTrue(all(a.frame.takes_batches for a in actions))


class DenialTests(unittest.TestCase):
    """Denials of an agent that was started beside a running target."""

    def setUp(self) -> None:
        self.owner = owner(is_first=False)

    def probe(self, number: int, *, takes_batches: bool, sender=BALANCER) -> list:
        """Let the target return a probe; return the frames that are sent at once."""
        sent = packet(number, size=10)
        frame = carry(sent, wants_reply=True)
        frame = replace(frame, takes_batches=takes_batches)
        self.owner.from_balancer(frame, sent, sender=sender, now=1.0)
        returned = answer(number, size=10, returned=True)
        return frames(self.owner.from_target(returned, now=1.0), FlowNotOwned)

    def test_denials_share_a_frame(self) -> None:
        """The denials for one balancer are sent together, once."""
        for number in (1, 2, 3):
            self.assertEqual(self.probe(number, takes_batches=True), [])
        self.probe(4, takes_batches=True, sender=OTHER_BALANCER)
        sent = self.owner.due_reports(now=1.0)
        denied = {
            a.endpoint: (a.frame.flow, *a.frame.others)
            for a in sent
            if isinstance(a.frame, FlowNotOwned)
        }
        flows = tuple(packet(number).flow for number in (1, 2, 3))
        expected = {BALANCER: flows, OTHER_BALANCER: (packet(4).flow,)}
        self.assertEqual(denied, expected)
        self.assertEqual(frames(self.owner.due_reports(now=1.1), FlowNotOwned), [])

    def test_balancer_of_an_older_build(self) -> None:
        """A balancer that doesn't say that it reads batches gets single frames."""
        self.probe(1, takes_batches=True)
        (single,) = self.probe(2, takes_batches=False)
        self.assertEqual((single.flow, single.others), (packet(2).flow, ()))

    def test_many_denials(self) -> None:
        """Frames stay within the limit of their size."""
        batches = DenialBatches(name="m" * 64)
        batches.record_capability(BALANCER, reads=True)
        count = 2 * MAX_QUERIED_FLOWS + 1
        for number in range(count):
            batches.add(packet(number).flow, balancer=BALANCER)
        sent = [action.frame for action in batches.pop()]
        self.assertEqual(sum(1 + len(frame.others) for frame in sent), count)
        for frame in sent:
            decoded = CODEC.decode(CODEC.encode(frame))
            self.assertEqual(decoded, frame)

    def test_balancer_takes_all(self) -> None:
        """Each flow of a batch is denied; those that all have denied are reset."""
        rig = SteeringRig(targets=2)
        for number in (1, 2, 3):
            rig.caller(packet(number))
        rig.steering.retry(now=CONVERGED + 0.1, draw=rig.draw)
        for question, name in itertools.product((1, 2), ("maps-1", "maps-2")):
            reply = OwnershipReply(
                question=question, agent=name, held=(), is_conclusive=False
            )
            rig.agent(reply, now=CONVERGED + 0.15)
        flows = [packet(number).flow for number in (1, 2, 3)]
        found = []
        for name, others in (("maps-1", flows[1:]), ("maps-2", flows[1:2])):
            frame = FlowNotOwned(agent=name, flow=flows[0], others=tuple(others))
            found += resets(rig.agent(frame, now=CONVERGED + 0.2))
        self.assertEqual(found, ["nobody holds the flow"] * 2)
