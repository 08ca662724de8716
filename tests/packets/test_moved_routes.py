"""Open flows of a route that a configuration has given to another service."""

import random
import unittest

from monsoonpier.agent.packets.flow_addresses import KEPT_SECONDS, TargetAddresses
from monsoonpier.balancer.membership import Membership
from monsoonpier.balancer.table import TargetTable
from monsoonpier.balancer.update_bytes import record_bytes
from monsoonpier.model.address import Address
from monsoonpier.model.target import MAX_FLOW_ADDRESSES, Condition
from monsoonpier.wire.codec import Codec
from monsoonpier.wire.frames import Announce, FlowNotOwned, OwnershipQuery
from tests.packets.rig import (
    CONVERGED,
    OWN,
    SERVICE,
    SteeringRig,
    answer,
    carry,
    owner,
    packet,
    record,
    resets,
)

OTHER = Address(ip="198.18.0.2", port=8443)
AGENT = ("10.2.0.3", 7720)
EARLIER = {"service": "logs", "addresses": (SERVICE.packed,)}


class LookupTests(unittest.TestCase):
    """A balancer that started after a route had moved from ``logs`` to ``maps``.

    Guards against resets of live flows whose owner is of an earlier service.
    """

    def rig(self, **fields) -> SteeringRig:
        rig = SteeringRig(targets=2)
        rig.learn(record("logs-3", host=3, **(EARLIER | fields)))
        return rig

    def queried(self, rig: SteeringRig) -> list[str]:
        actions = rig.caller(packet(size=10))
        return rig.names([a for a in actions if isinstance(a.frame, OwnershipQuery)])

    def test_earlier_service_is_asked(self) -> None:
        """A flow is reset once the earlier service's agent has denied it too."""
        rig = self.rig()
        self.assertEqual(self.queried(rig), ["logs-3", "maps-1", "maps-2"])
        found = []
        for name in ("maps-1", "maps-2", "logs-3"):
            sent = packet(size=10)
            denial = FlowNotOwned(agent=name, flow=sent.flow, payload=sent.raw)
            found.append(resets(rig.agent(denial, sent, now=CONVERGED + 0.1)))
        self.assertEqual(found, [[], [], ["nobody holds the flow"]])

    def test_service_without_flows_there(self) -> None:
        """Agents that have ended or have no flow at the address aren't asked."""
        for fields in (
            {"addresses": (OTHER.packed,)},
            {"addresses": ()},
            {"addresses": None},
            {"condition": Condition.GONE},
        ):
            with self.subTest(**fields):
                self.assertEqual(self.queried(self.rig(**fields)), ["maps-1", "maps-2"])

    def test_address_that_becomes_known(self) -> None:
        """An address that an agent names during a lookup counts at once."""
        rig = self.rig(addresses=())
        rig.caller(packet(size=10))
        rig.learn(record("logs-3", host=3, change=1, **EARLIER), now=CONVERGED)
        actions: list = []
        for name in ("maps-1", "maps-2"):
            denial = FlowNotOwned(agent=name, flow=packet().flow)
            actions += rig.agent(denial, now=CONVERGED + 0.1)
        self.assertEqual(resets(actions), [])


class RecordTests(unittest.TestCase):
    """Addresses in the records of agents that are restarted."""

    def setUp(self) -> None:
        self.table = TargetTable()
        self.table.learn(record("logs-3", **EARLIER), now=0.0)

    def services(self, **fields) -> set[str]:
        """Return the services at the address after a newer record."""
        self.table.learn(record("logs-3", service="logs", **fields), now=1.0)
        return set(self.table.services_at(SERVICE))

    def test_restarted_agent(self) -> None:
        """A new agent doesn't know the flows of its running target."""
        starting = {"epoch": 2, "condition": Condition.STARTING}
        self.assertEqual(self.services(**starting, instance=b""), {"logs"})
        known = {"epoch": 2, "change": 1, "addresses": (OTHER.packed, SERVICE.packed)}
        self.assertEqual(self.services(**known), {"logs"})

    def test_restarted_agent_that_names_others(self) -> None:
        """A new agent of the same target may have seen only some of its flows."""
        self.assertEqual(self.services(epoch=2, addresses=(OTHER.packed,)), {"logs"})

    def test_new_instance(self) -> None:
        """A target that starts again has no flow of before."""
        started = {"epoch": 2, "instance": b"i-2", "addresses": ()}
        self.assertEqual(self.services(**started), set())

    def test_same_agent(self) -> None:
        """What an agent says of itself later replaces what it said before."""
        self.assertEqual(self.services(change=1, addresses=()), set())

    def test_removed(self) -> None:
        """A target that has ended owns no flow."""
        self.assertEqual(self.services(change=1, condition=Condition.GONE), set())

    def test_relay_of_an_older_build(self) -> None:
        """Addresses that a relay has left out are added to the same record."""
        table = TargetTable()
        table.learn(record("logs-3", **EARLIER | {"addresses": None}), now=0.0)
        self.assertEqual(table.services_at(SERVICE), set())
        changes = table.address_changes
        table.learn(record("logs-3", **EARLIER | {"addresses": None}), now=0.0)
        self.assertEqual(table.address_changes, changes)
        table.learn(record("logs-3", **EARLIER), now=0.0)
        self.assertEqual(table.services_at(SERVICE), {"logs"})

    def test_agent_is_told(self) -> None:
        """A restarted agent is told its addresses, and every new balancer gets them."""
        membership = Membership(own=OWN)
        draw = random.Random(1)
        acks = []
        starting = {"epoch": 2, "condition": Condition.STARTING, "addresses": None}
        for fields in ({}, starting):
            announced = record("logs-3", **EARLIER | fields)
            actions = membership.from_process(
                Announce(record=announced), sender=AGENT, now=1.0, draw=draw
            )
            acks.append(actions[0].frame.addresses)
        self.assertEqual(acks, [(), (SERVICE.packed,)])
        (given,) = membership.records_for_peer((b"",) * 16, now=1.0)
        self.assertEqual((given.epoch, given.addresses), (2, (SERVICE.packed,)))

    def test_size(self) -> None:
        """The reckoned size of a record covers its addresses."""
        many = tuple(bytes((n,) * 6) for n in range(MAX_FLOW_ADDRESSES))
        full = record("logs-3", addresses=many)
        codec = Codec(messages=Announce, max_bytes=2_048)
        self.assertGreaterEqual(
            record_bytes(full) + 8, len(codec.encode(Announce(record=full)))
        )


class AgentTests(unittest.TestCase):
    """What an agent says of where its target may own flows."""

    def test_seen_from_the_start(self) -> None:
        """An agent that saw its target start names the addresses of its flows."""
        agent = owner()
        self.assertEqual(agent.addresses, ())
        sent = packet(syn=True)
        agent.from_balancer(carry(sent), sent, sender=AGENT, now=1.0)
        agent.from_target(answer(syn=True), now=1.0)
        self.assertEqual(agent.addresses, (SERVICE.packed,))
        agent.inherit_addresses((OTHER.packed,), now=1.0)
        self.assertEqual(agent.addresses, (SERVICE.packed,))
        agent.target_ended(now=2.0)
        self.assertEqual(agent.addresses, ())

    def test_restarted(self) -> None:
        """A restarted agent adds what it sees to what an earlier agent named."""
        agent = owner(is_first=False)
        self.assertIsNone(agent.addresses)
        agent.inherit_addresses((OTHER.packed,), now=1.0)
        agent.from_target(answer(size=10), now=1.0)
        self.assertEqual(agent.addresses, (SERVICE.packed, OTHER.packed))
        agent.instance_started(b"i-2", is_first=True, now=2.0)
        self.assertEqual(agent.addresses, ())

    def test_kept_for_long(self) -> None:
        """A rarely used address is kept for an hour, so that the record rests."""
        addresses = TargetAddresses()
        addresses.observe(SERVICE, now=0.0)
        addresses.inherit((OTHER.packed,), now=0.0)
        addresses.expire(now=KEPT_SECONDS)
        self.assertEqual(len(addresses.packed), 2)
        addresses.expire(now=KEPT_SECONDS + 1.0)
        self.assertEqual(addresses.packed, ())

    def test_bounded(self) -> None:
        """The address used least recently makes room."""
        addresses = TargetAddresses()
        many = [Address(ip=f"198.18.1.{n}", port=1) for n in range(20)]
        for now, address in enumerate(many):
            addresses.observe(address, now=float(now))
        kept = tuple(address.packed for address in many[-MAX_FLOW_ADDRESSES:])
        self.assertEqual(addresses.packed, kept)
