"""Routes whose flows several services share by weight."""

import itertools
import math
import random
import unittest
from collections import Counter

from monsoonpier.balancer.packets.shares import choose_service
from monsoonpier.documents.route_shares import read_shares
from monsoonpier.model.service import Configuration, PacketRoute
from monsoonpier.model.target import Condition
from monsoonpier.wire.frames import (
    FlowNotOwned,
    FlowOwned,
    ForwardPacket,
    OwnershipQuery,
    OwnershipReply,
    RelayPacket,
)
from monsoonpier.wire.packet import Packet
from tests.packets.rig import (
    CONVERGED,
    SERVICE,
    SteeringRig,
    load,
    packet,
    record,
    resets,
)

FLOWS = 10_000


def shared(**weights_by_service: float) -> PacketRoute:
    return PacketRoute(
        weights_by_service=weights_by_service, aim_seconds=0.2, timeout_seconds=3.0
    )


def owned(agent: str, sent: Packet) -> FlowOwned:
    return FlowOwned(flow=sent.flow, agent=agent, load=load(number=9), is_open=True)


def choices(route: PacketRoute, *, without: tuple[str, ...] = ()) -> list[str]:
    """Return the services of many flows, always the same flows."""
    draw = random.Random(7)
    return [
        choose_service(
            draw.randbytes(12), route, serves=lambda name: name not in without
        ).service
        for _ in range(FLOWS)
    ]


class ChoiceTests(unittest.TestCase):
    """Choice of the service of a new flow."""

    def assert_shares(self, found: list[str], **shares: float) -> None:
        counts = Counter(found)
        self.assertEqual(counts.keys(), shares.keys())
        for service, share in shares.items():
            sampling = 4 * math.sqrt(FLOWS * share * (1 - share))
            self.assertAlmostEqual(counts[service], FLOWS * share, delta=sampling)

    def test_weights_are_met(self) -> None:
        """Services get shares by weight; a weight of 0 gets nothing."""
        self.assert_shares(choices(shared(maps=90, next=10)), maps=0.9, next=0.1)
        thirds = shared(maps=6, next=3, old=1, off=0)
        self.assert_shares(choices(thirds), maps=0.6, next=0.3, old=0.1)
        self.assertEqual(set(choices(shared(maps=0))), {""})

    def test_rollout_moves_no_more_than_it_must(self) -> None:
        """When one weight grows, flows move to that service only."""
        before = choices(shared(maps=90, next=10, old=20))
        after = choices(shared(maps=90, next=60, old=20))
        moves = {(b, a) for b, a in zip(before, after, strict=True) if b != a}
        self.assertEqual(moves, {("maps", "next"), ("old", "next")})
        self.assertEqual(before, choices(shared(old=2, next=1, maps=9)))

    def test_service_without_a_target(self) -> None:
        """The share of a service without a target goes to the others by weight."""
        route = shared(maps=60, next=30, old=10)
        before, after = choices(route), choices(route, without=("maps",))
        self.assert_shares(after, next=0.75, old=0.25)
        kept = [(b, a) for b, a in zip(before, after, strict=True) if b != "maps"]
        self.assertTrue(all(b == a for b, a in kept))


class SteeringTests(unittest.TestCase):
    """Balancers with a route that ``maps`` and ``logs`` share."""

    def rig(self, *, started_at: float = 0.0, **weights: float) -> SteeringRig:
        rig = SteeringRig(targets=2, version=0, started_at=started_at)
        for number in (3, 4):
            rig.learn(record(f"logs-{number}", host=number, service="logs"))
        self.configure(rig, shared(**weights or {"maps": 50, "logs": 50}))
        return rig

    def configure(self, rig: SteeringRig, route: PacketRoute) -> None:
        version = rig.membership.configuration.version + 1
        rig.membership.configure(
            Configuration(version=version, routes_by_address={SERVICE: route})
        )
        rig.steering.configured()

    def services(self, rig: SteeringRig, *, now: float = CONVERGED) -> list[str]:
        """Return the services of 40 new flows, placed or queued."""
        for number in range(40):
            rig.caller(packet(number, syn=True), now=now)
        flows = rig.steering._context.flows
        return [flows.get(packet(number).flow).service for number in range(40)]

    def test_every_balancer_chooses_alike(self) -> None:
        """Another or a restarted balancer chooses the same service for a flow."""
        found = self.services(self.rig())
        self.assertEqual(set(found), {"maps", "logs"})
        self.assertEqual(self.services(self.rig(started_at=80.0)), found)

    def test_full_service_keeps_its_share(self) -> None:
        """A service whose targets are full keeps its share."""
        undisturbed, rig = self.rig(), self.rig()
        for number in (3, 4):
            full = load(number=9, in_flight=9, flows=2_000)
            rig.membership.table.record_load(f"logs-{number}", full, now=CONVERGED)
        for each in (undisturbed, rig):
            for number in range(40):
                each.caller(packet(number, syn=True))
        opened = rig.steering.opened_by_service
        self.assertEqual(opened, undisturbed.steering.opened_by_service)

    def test_service_whose_targets_leave(self) -> None:
        """A leaving service's share goes to the others, once all targets are known."""
        undisturbed = self.services(self.rig())
        for now, expected in ((CONVERGED, ["maps"] * 40), (0.5, undisturbed)):
            rig = self.rig()
            for number in (3, 4):
                leaving = {"service": "logs", "condition": Condition.LEAVING}
                rig.learn(record(f"logs-{number}", host=number, epoch=2, **leaving))
            self.assertEqual(self.services(rig, now=now), expected)

    def queried(self, actions: list) -> set[tuple[str, str]]:
        """Return which agents are queried, with the service named in the query."""
        names_by_endpoint = {(f"10.2.0.{n}", 7720): n for n in range(1, 9)}
        return {
            (names_by_endpoint[a.endpoint], a.frame.service)
            for a in actions
            if isinstance(a.frame, OwnershipQuery)
        }

    def test_restarted_balancer_queries_all_services(self) -> None:
        """A flow is reset once agents of all services of its route have denied it."""
        rig = self.rig()
        every = {(1, "maps"), (2, "maps"), (3, "logs"), (4, "logs")}
        for flow, owner in ((1, None), (2, "logs-3")):
            now = CONVERGED + flow
            self.assertEqual(self.queried(rig.caller(packet(flow), now=now)), every)
            actions: list = []
            for name in ("maps-1", "maps-2", "logs-3", "logs-4"):
                self.assertEqual(resets(actions), [])
                sent = packet(flow)
                frame = FlowNotOwned(agent=name, flow=sent.flow, payload=sent.raw)
                if name == owner:
                    frame = owned(name, sent)
                actions = rig.agent(frame, sent, now=now)
            self.assertEqual(len(resets(actions)), owner is None)
        carried = rig.caller(packet(2), now=103.0)
        self.assertEqual([a.frame.service for a in carried], ["logs"])

    def test_agents_restarted_too(self) -> None:
        """A probe names the service of each agent that it goes to."""
        rig = self.rig()
        rig.caller(packet(size=9))
        queries = rig.steering._resolver._queries._sent_by_number
        actions: list = []
        for number, name in itertools.product(
            queries, ("maps-1", "maps-2", "logs-3", "logs-4")
        ):
            reply = OwnershipReply(
                question=number, agent=name, held=(), is_conclusive=False
            )
            actions += rig.agent(reply)
        actions += rig.steering.retry(now=CONVERGED + 0.02, draw=rig.draw)
        probed = {(a.endpoint[0], a.frame.service) for a in actions}
        self.assertEqual({type(a.frame) for a in actions}, {ForwardPacket, RelayPacket})
        expected = {("10.2.0.1", "maps"), ("10.2.0.2", "maps"), ("10.2.0.3", "logs")}
        self.assertLessEqual(probed, expected | {("10.2.0.4", "logs")})

    def test_route_that_moves_on(self) -> None:
        """Open flows keep their owner when the route changes to another service."""
        rig = self.rig(maps=1)
        placed = rig.caller(packet(syn=True))
        (name,) = rig.names(placed)
        rig.agent(owned(name, packet()))
        self.configure(rig, shared(logs=1))
        self.assertEqual(rig.names(rig.caller(packet())), [name])
        new = rig.caller(packet(7, syn=True))
        self.assertEqual([a.frame.service for a in new], ["logs"])
        self.assertEqual(len(self.queried(rig.caller(packet(8)))), 4)


class DocumentTests(unittest.TestCase):
    """Shares in configuration documents."""

    def test_wrong_entries(self) -> None:
        """All errors are reported at once; the valid entries are used."""
        entries = [("a", None), ("b", -1), ("c", "5"), ("d", 5), ("d", 1), (7, 1)]
        found = read_shares(
            [{"service": service, "weight": weight} for service, weight in entries],
            route="r",
            service="e",
            declared=("a", "b", "c"),
        )
        weights = {"a": 0, "b": 0, "c": 0, "d": 6}
        self.assertEqual(found.weights_by_service, weights)
        self.assertEqual(len(found.findings), 7)

    def test_no_usable_weight(self) -> None:
        """Without a valid weight services share equally; zeros are kept."""
        for weight, expected, finding_count in (("x", 1, 2), (0, 0, 1), (True, 1, 2)):
            shares = [{"service": name, "weight": weight} for name in "ab"]
            found = read_shares(shares, route="r", service="", declared=())
            self.assertEqual(found.weights_by_service, {"a": expected, "b": expected})
            self.assertEqual(len(found.findings), finding_count)
