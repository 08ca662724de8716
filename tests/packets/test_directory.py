"""Directory of flow owners, with several balancers."""

import unittest

from monsoonpier.balancer.actions import ToAgent
from monsoonpier.balancer.packets.directory import MAX_OWNERS, OwnerDirectory
from monsoonpier.model.target import Condition
from monsoonpier.wire.frames import (
    BalancerRecord,
    DirectoryQuery,
    DirectoryUpdate,
    FlowNotOwned,
    FlowOwned,
    ForwardPacket,
)
from tests.packets.rig import CONVERGED, SteeringRig, load, packet, record as target


def record(number: int, *, data_centre: str = "dc-1") -> BalancerRecord:
    return BalancerRecord(
        name=f"lb-{number}",
        data_centre=data_centre,
        ip=f"10.1.0.{number}",
        port=7720,
        control=f"10.1.0.{number}:7721",
        epoch=1,
    )


class _Group:
    """Balancers that know each other; frames among them arrive unless cut off."""

    def __init__(self, count: int) -> None:
        records = [record(number) for number in range(1, count + 1)]
        self.rigs = {r.endpoint: SteeringRig(targets=3, own=r) for r in records}
        self.cut_off: set[tuple[str, int]] = set()
        for rig in self.rigs.values():
            for other in records:
                rig.membership.peers.learn(other)

    def run(self, endpoint: tuple[str, int], actions: list, *, now: float) -> list:
        """Deliver frames among the balancers; return all other actions."""
        others = []
        queue = [(endpoint, action) for action in actions]
        while queue:
            sender, action = queue.pop(0)
            is_between = isinstance(action, ToAgent) and action.endpoint in self.rigs
            if not is_between:
                others.append(action)
            elif action.endpoint not in self.cut_off:
                rig = self.rigs[action.endpoint]
                answers = rig.agent(action.frame, sender=sender, now=now)
                queue += [(action.endpoint, answer) for answer in answers]
        return others

    def open_flow(self, endpoint: tuple[str, int], number: int, *, now: float) -> None:
        """Open a flow at ``maps-2`` through one balancer, and register it."""
        rig = self.rigs[endpoint]
        flow = packet(number).flow
        held = FlowOwned(flow=flow, agent="maps-2", load=load(), is_open=True)
        rig.agent(held, now=now)
        self.run(endpoint, rig.steering.retry(now=now + 1, draw=rig.draw), now=now + 1)


class DirectoryTests(unittest.TestCase):
    """Flows that move from one balancer to another."""

    def setUp(self) -> None:
        self.group = _Group(5)
        self.first, *self.others = self.group.rigs

    def carried(self, endpoint, sent, *, now: float) -> list:
        rig = self.group.rigs[endpoint]
        actions = self.group.run(endpoint, rig.caller(sent, now=now), now=now)
        return rig.names(actions)

    def test_moved_flow_goes_to_owner_only(self) -> None:
        """A moved flow's packet is sent to its owner's agent only."""
        self.group.open_flow(self.first, 1, now=CONVERGED)
        for endpoint in self.others:
            sent = packet(1, size=10)
            self.assertEqual(self.carried(endpoint, sent, now=200.0), ["maps-2"])
            self.assertEqual(self.carried(endpoint, sent, now=200.1), ["maps-2"])

    def test_unregistered_flow_queries_all_agents(self) -> None:
        """The agents are queried if the directory has no entry."""
        names = self.carried(self.first, packet(9, size=10), now=200.0)
        self.assertEqual(names, ["maps-1", "maps-2", "maps-3"])

    def test_directory_timeout(self) -> None:
        """The agents are queried after 30 ms if the directory doesn't reply."""
        self.group.open_flow(self.first, 1, now=CONVERGED)
        for endpoint in self.others:
            self.group.cut_off = set(self.group.rigs) - {endpoint}
            rig = self.group.rigs[endpoint]
            if self.carried(endpoint, packet(1, size=10), now=200.0):
                continue  # this one is a directory balancer of the flow
            late = rig.steering.retry(now=200.04, draw=rig.draw)
            names = rig.names(self.group.run(endpoint, late, now=200.04))
            self.assertEqual(names, ["maps-1", "maps-2", "maps-3"])

    def test_packets_are_buffered_during_query(self) -> None:
        """Packets buffered during the query are forwarded once, in order."""
        self.group.open_flow(self.first, 1, now=CONVERGED)
        self.group.cut_off = set(self.group.rigs)
        for endpoint in self.others:
            rig = self.group.rigs[endpoint]
            sent = [packet(1, size=10, sequence=1_000 + n) for n in range(3)]
            questions = rig.caller(sent[0], now=200.0)
            if not any(
                isinstance(action.frame, DirectoryQuery) for action in questions
            ):
                continue
            for later in sent[1:]:
                self.assertEqual(rig.caller(later, now=200.01), [])
            self.group.cut_off = set()
            actions = self.group.run(endpoint, questions, now=200.02)
            payloads = [
                a.frame.payload for a in actions if isinstance(a.frame, ForwardPacket)
            ]
            self.assertEqual(payloads, [s.raw for s in sent])
            return
        self.fail("all balancers are directory balancers of the flow")

    def test_stale_entry(self) -> None:
        """When the registered owner denies the flow, the other agents are queried."""
        self.group.open_flow(self.first, 1, now=CONVERGED)
        rig = self.group.rigs[self.others[0]]
        sent = packet(1, size=10)
        self.carried(self.others[0], sent, now=200.0)
        denial = FlowNotOwned(agent="maps-2", flow=sent.flow, payload=sent.raw)
        self.assertEqual(
            rig.names(rig.agent(denial, sent, now=200.1)), ["maps-1", "maps-3"]
        )

    def test_stored_owner_has_ended(self) -> None:
        """The agents are queried if the registered owner has ended."""
        self.group.open_flow(self.first, 1, now=CONVERGED)
        for endpoint in self.others:
            gone = target("maps-2", host=2, epoch=2, condition=Condition.GONE)
            self.group.rigs[endpoint].learn(gone)
            names = self.carried(endpoint, packet(1, size=10), now=200.0)
            self.assertEqual(names, ["maps-1", "maps-3"])

    def test_short_flows_are_not_registered(self) -> None:
        """A flow that its caller has closed is not registered."""
        rig = self.group.rigs[self.first]
        flow = packet(1).flow
        held = FlowOwned(flow=flow, agent="maps-2", load=load(), is_open=True)
        rig.agent(held, now=CONVERGED)
        rig.caller(packet(1, fin=True), now=CONVERGED + 0.1)
        actions = rig.steering.retry(now=CONVERGED + 1, draw=rig.draw)
        found = [
            a for a in actions if isinstance(getattr(a, "frame", None), DirectoryUpdate)
        ]
        self.assertEqual(found, [])

    def test_bounded(self) -> None:
        """A full directory evicts the oldest entries."""
        rig = self.group.rigs[self.first]
        directory = OwnerDirectory(membership=rig.membership)
        for number in range(MAX_OWNERS + 10):
            entry = (number.to_bytes(12, "big"), "maps-1")
            directory.store(DirectoryUpdate(entries=(entry,)))
        self.assertEqual(len(directory), MAX_OWNERS)
        self.assertIsNone(directory.get((0).to_bytes(12, "big")))
