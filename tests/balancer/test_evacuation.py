"""How balancers learn of evacuated data centres, and where new flows then go."""

import random
import unittest
from unittest import mock

import msgspec

from monsoonpier.balancer.actions import ToAgent
from monsoonpier.balancer.configuration_copy import (
    ConfigurationCopies,
    ConfigurationCopy,
    encode_copy,
)
from monsoonpier.balancer.membership import Membership
from monsoonpier.balancer.store_link import (
    EvacuationsRead,
    StoreLink,
    updated_evacuations,
)
from monsoonpier.balancer.stored_configuration import CurrentConfiguration
from monsoonpier.model.evacuation import Evacuation, Evacuations
from monsoonpier.model.revision import Revision
from monsoonpier.model.target import Condition, LoadReport
from monsoonpier.store.interface import Put
from monsoonpier.store.keys import CONFIGURATION, CONFIGURATION_COPY, EVACUATIONS
from monsoonpier.wire.frames import (
    ForwardPacket,
    FrameCodec,
    Gossip,
    Heartbeat,
    HeartbeatAck,
)
from standins.fake_store import FakeStore
from tests.packets.rig import (
    CONVERGED,
    OWN,
    SteeringRig,
    exchange_gossip,
    packet,
    record,
)
from tests.rig import KEYS, balancer

HERE = OWN.data_centre


def order(revision: int, *, place: str = HERE, active: bool = True) -> Evacuation:
    """Return an evacuation order, or its deletion."""
    return Evacuation(data_centre=place, revision=revision, is_active=active)


class StoreReadTests(unittest.IsolatedAsyncioTestCase):
    """What a watcher learns from the store by reading and watching."""

    async def asyncSetUp(self) -> None:
        self.store = FakeStore()
        self.known = Evacuations()
        self.received: list[str] = []
        configuration = mock.create_autospec(CurrentConfiguration, instance=True)
        configuration.value_bytes = 0
        configuration.apply.side_effect = lambda _: self.received.append(
            "configuration"
        )
        configuration.apply_packed.side_effect = lambda _: self.received.append("copy")
        self.link = StoreLink(
            store=self.store,
            peers=balancer("b1").peers,
            codec=FrameCodec(keys=KEYS),
            copies=ConfigurationCopies(store=self.store, keys=KEYS),
            configuration=configuration,
            evacuate=self._apply,
            draw=random.Random(1),
        )

    def _apply(self, update: Evacuation | EvacuationsRead) -> None:
        self.received.append("evacuations")
        self.known = updated_evacuations(self.known, update)

    async def _order(self, place: str) -> None:
        put = Put(key=EVACUATIONS + place, value=b"{}")
        await self.store.transact(compares=(), puts=(put,))

    async def _delete_order(self, place: str) -> None:
        removes = (EVACUATIONS + place,)
        await self.store.transact(compares=(), puts=(), removes=removes)

    async def test_before_configuration(self):
        """Evacuations are applied before the configuration."""
        put = Put(key=CONFIGURATION, value=b"c")
        await self.store.transact(compares=(), puts=(put,))
        await self._order(HERE)
        await self.link._read()
        self.assertEqual(self.received, ["evacuations", "configuration"])
        self.assertTrue(self.known.is_evacuated(HERE))

    async def test_before_copy(self):
        """Evacuations are applied before the configuration copy."""
        await self._order(HERE)
        copy = encode_copy(ConfigurationCopy(version=1, packed=b"c"), keys=KEYS)
        put = Put(key=CONFIGURATION_COPY, value=copy)
        await self.store.transact(compares=(), puts=(put,))
        await self.link._load_copy()
        self.assertEqual(self.received, ["evacuations", "copy"])
        self.assertTrue(self.known.is_evacuated(HERE))

    async def test_watch(self):
        """Orders and deletions after a read are learned from the watch."""
        revision = await self.link._read()
        await self._order(HERE)
        await self._order("dc-2")
        await self._delete_order(HERE)
        watch = self.store.watch(
            CONFIGURATION, prefix=True, from_revision=revision.next
        )
        for _ in range(3):
            self.link._apply_event(await anext(watch))
        self.assertEqual(self.known.active, {"dc-2"})

    async def test_missed_deletion(self):
        """A deletion missed by the watch is found by the next read."""
        await self._order(HERE)
        await self.link._read()
        await self._delete_order(HERE)
        await self.link._read()
        self.assertFalse(self.known.is_evacuated(HERE))


class PlacingTests(unittest.TestCase):
    """Where new flows go while a data centre is evacuated."""

    def _rig(self) -> SteeringRig:
        rig = SteeringRig(targets=0, data_centres=(HERE, "dc-2"))
        for host, place in ((1, HERE), (2, HERE), (3, "dc-2")):
            rig.learn(record(f"maps-{host}", host=host, data_centre=place))
        return rig

    def _evacuate(self, rig: SteeringRig, *orders: Evacuation) -> None:
        membership = rig.membership
        membership.evacuate(membership.evacuations.joined(orders))

    def _endpoints(self, rig: SteeringRig, *, flows: int = 20) -> set[str]:
        """Return the addresses that new flows go to."""
        found = set()
        for number in range(1, flows + 1):
            for action in rig.caller(packet(number, syn=True)):
                assert isinstance(action, ToAgent)
                if isinstance(action.frame, ForwardPacket):
                    found.add(action.endpoint[0])
        return found

    def test_local_data_centre_evacuated(self):
        """New flows go to another data centre while the local one is evacuated."""
        rig = self._rig()
        self._evacuate(rig, order(5))
        self.assertEqual(self._endpoints(rig, flows=2), {"10.2.0.3"})

    def test_deleted_order(self):
        """New flows go to the data centre again after the order is deleted."""
        rig = self._rig()
        self._evacuate(rig, order(5))
        self._evacuate(rig, order(9, active=False))
        self.assertGreater(len(self._endpoints(rig)), 1)

    def test_all_evacuated(self):
        """If no target serves, callers are rejected at once, not at their deadline."""
        rig = self._rig()
        self._evacuate(rig, order(5), order(6, place="dc-2"))
        actions = rig.caller(packet(1, syn=True))
        self.assertEqual([a.reason for a in actions], ["no target serves"])

    def test_open_flows_stay(self):
        """Packets of an open flow still go to its target."""
        rig = self._rig()
        (sent,) = rig.caller(packet(1, syn=True))
        self._evacuate(rig, order(5))
        found = rig.caller(packet(1, size=10))
        self.assertEqual([a.endpoint for a in found], [sent.endpoint])

    def test_gossip(self):
        """A peer's report changes an order only if its revision is newer."""
        rig = self._rig()
        peer = msgspec.structs.replace(OWN, name="lb-2", ip="10.1.0.2")

        def receive(report: Evacuation) -> None:
            gossip = Gossip(sender=peer, version=1, digest=b"", evacuations=(report,))
            rig.membership.from_process(
                gossip, sender=peer.endpoint, now=CONVERGED, draw=rig.draw
            )

        receive(order(5))
        self.assertTrue(rig.membership.has_updates)
        receive(order(3, active=False))
        self.assertEqual(self._endpoints(rig, flows=2), {"10.2.0.3"})
        receive(order(8, active=False))
        self.assertFalse(rig.membership.evacuations.active)

    def test_relayed(self):
        """Each gossip message carries the known evacuations."""
        rig = self._rig()
        peer = msgspec.structs.replace(OWN, name="lb-2", ip="10.1.0.2")
        rig.membership.peers.learn(peer)
        self._evacuate(rig, order(5))
        actions = rig.membership.gossip_round(now=CONVERGED, draw=rig.draw)
        (action,) = [a for a in actions if isinstance(a.frame, Gossip)]
        self.assertEqual(action.frame.evacuations, (order(5),))

    def test_agents_are_notified(self):
        """Affected agents that send heartbeats here are informed at once."""
        rig = self._rig()
        for name in ("maps-1", "maps-3"):
            load = rig.membership.table.packet_candidates("maps", now=CONVERGED)[0].load
            rig.membership.table.record_heartbeat(name, load, now=CONVERGED)
        self._evacuate(rig, order(5))
        (action,) = rig.membership.evacuation_acks(order(5), now=CONVERGED)
        self.assertEqual(action.endpoint[0], "10.2.0.1")
        self.assertIsInstance(action.frame, HeartbeatAck)
        self.assertEqual(action.frame.evacuation, order(5))


class RevokedOrderTests(unittest.TestCase):
    """Orders that some process still believes after they were revoked."""

    def setUp(self) -> None:
        self.draw = random.Random(1)
        self.lagging = Membership(own=OWN)
        peer = msgspec.structs.replace(OWN, name="lb-2", ip="10.1.0.2")
        self.current = Membership(own=peer)
        self.current.evacuate(Evacuations().as_read({}, revision=Revision(number=20)))
        self.lagging.evacuate(Evacuations().joined((order(12),)))

    def _gossip(self) -> None:
        exchange_gossip(self.lagging, self.current, now=CONVERGED, draw=self.draw)

    def test_peer_is_corrected(self):
        """A peer that reports an order from before a read learns of its end."""
        self._gossip()
        self.assertEqual(self.current.evacuations.active, set())
        self.assertEqual(self.lagging.evacuations.active, set())
        self.assertTrue(self.current.has_updates)

    def test_known_revocation_is_not_overridden(self):
        """A read supersedes the orders after a revocation that was known before."""
        known = Evacuations().joined((order(5, active=False),))
        self.current.evacuate(known.as_read({}, revision=Revision(number=20)))
        self._gossip()
        self.assertEqual(self.current.evacuations.active, set())
        self.assertEqual(self.lagging.evacuations.active, set())

    def _evacuation_sent(self, condition: Condition) -> Evacuation | None:
        """Return the order in the answer to an agent's heartbeat."""
        target = record("maps-1")
        self.current.table.learn(target, now=CONVERGED)
        heartbeat = Heartbeat(
            name=target.name,
            epoch=target.epoch,
            change=target.change,
            load=LoadReport(number=1, condition=condition),
        )
        (action,) = self.current.from_process(
            heartbeat, sender=("10.1.0.9", 7720), now=CONVERGED, draw=self.draw
        )
        return action.frame.evacuation

    def test_agent_is_corrected(self):
        """An agent that sheds flows is told of the end of orders unknown here."""
        sent = self._evacuation_sent(Condition.SHEDDING)
        self.assertEqual(sent, order(20, active=False))

    def test_serving_agent(self):
        """An agent that accepts flows needs no revocation."""
        self.assertIsNone(self._evacuation_sent(Condition.SERVING))

    def test_inconclusive_read(self):
        """A read after a restore revokes nothing at agents until it is conclusive."""
        reading = Revision(generation=1, number=20)
        unknown = Evacuations().as_read({}, revision=reading, is_conclusive=False)
        self.current.evacuate(unknown)
        self.assertIsNone(self._evacuation_sent(Condition.SHEDDING))
