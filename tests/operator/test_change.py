"""Changes of the configuration: races, lost responses, outages."""

import asyncio
import random
import unittest

from monsoonpier.documents.stored import (
    decode_configuration,
    decode_stored,
    pack,
    unpack,
)
from monsoonpier.operator.change import (
    Accepted,
    ConfigurationChange,
    Conflict,
    Unknown,
    read_audit,
    read_stored,
    store_change,
)
from monsoonpier.store.interface import StoreError
from monsoonpier.store.keys import CONFIGURATION
from standins.fake_store import FakeStore

FILE = """\
services:
  maps: {address: "192.0.2.10:%d", targets: ["maps-*"], kinds: {reading: {}}}
"""
RACES = 50


def wanted(who: str, port: int = 7001) -> ConfigurationChange:
    """Return a change by an operator."""
    return ConfigurationChange(
        apply_id=f"{who}-{port}",
        who=who,
        at="2026-01-01T20:00:00+00:00",
        texts_by_name={"maps.yaml": FILE % port},
    )


class ChangeTests(unittest.IsolatedAsyncioTestCase):
    """Compare-and-swap with an apply id."""

    async def asyncSetUp(self) -> None:
        self.platform = FakeStore()
        self.draw = random.Random(1)

    async def apply(self, requested: ConfigurationChange, *, base=None, **options):
        """Apply a change based on the stored configuration."""
        base = base or await read_stored(self.platform)
        return await store_change(
            self.platform, requested, base=base, draw=self.draw, **options
        )

    async def test_accepted_with_audit_entry(self):
        """An accepted change is stored with its audit entry."""
        outcome = await self.apply(wanted("ana"))
        self.assertIsInstance(outcome, Accepted)
        (entry,) = await read_audit(self.platform)
        self.assertEqual((entry.version, entry.who, entry.previous), (1, "ana", 0))
        self.assertTrue(entry.difference[0].startswith("+ maps"))
        value = (await self.platform.read(CONFIGURATION)).values_by_key[CONFIGURATION]
        self.assertEqual(decode_configuration(value.value).version, 1)

    async def test_two_operators(self):
        """The second of two changes is a conflict that names the first."""
        base = await read_stored(self.platform)
        await self.apply(wanted("ana"), base=base)
        outcome = await self.apply(wanted("ben", 7002), base=base)
        self.assertIsInstance(outcome, Conflict)
        self.assertEqual((outcome.by.stored.who, outcome.by.version), ("ana", 1))
        self.assertEqual(len(await read_audit(self.platform)), 1)

    async def test_base_removed_by_a_restore(self):
        """A change based on a version that a restore removed is a conflict."""
        backup = self.platform.store.backup()
        await self.apply(wanted("ana"))
        base = await read_stored(self.platform)
        self.platform.store.restore(backup)
        await self.apply(wanted("ben", 7002))
        self.assertEqual((await read_stored(self.platform)).version, base.version)
        outcome = await self.apply(wanted("ana", 7003), base=base)
        self.assertIsInstance(outcome, Conflict)
        self.assertEqual(outcome.by.stored.who, "ben")

    async def test_races(self):
        """Of two concurrent changes one is accepted, one is a conflict."""
        for number in range(RACES):
            base = await read_stored(self.platform)
            self.platform.lost_answers = number % 3
            outcomes = await asyncio.gather(
                self.apply(wanted("ana", 8000 + number), base=base),
                self.apply(wanted("ben", 9000 + number), base=base),
            )
            kinds = sorted(type(outcome).__name__ for outcome in outcomes)
            self.assertEqual(kinds, ["Accepted", "Conflict"])
        entries = await read_audit(self.platform)
        self.assertEqual([e.version for e in entries], list(range(1, RACES + 1)))

    async def test_lost_answer(self):
        """A change whose response was lost is found to be accepted."""
        self.platform.lost_answers = 1
        outcome = await self.apply(wanted("ana"))
        self.assertEqual(outcome.version, 1)
        self.assertEqual(len(await read_audit(self.platform)), 1)

    async def test_lost_answer_and_a_later_change(self):
        """A lost response is resolved even after a later change."""
        base = await read_stored(self.platform)
        real = self.platform.transact
        later = self.apply

        async def lose_and_overtake(**arguments):
            self.platform.transact = real
            await real(**arguments)
            await later(wanted("ben", 7002))
            raise StoreError("the answer was lost")

        self.platform.transact = lose_and_overtake
        outcome = await self.apply(wanted("ana"), base=base)
        self.assertIsInstance(outcome, Accepted)
        self.assertEqual(outcome.version, 1)
        self.assertEqual((await read_stored(self.platform)).stored.who, "ben")

    async def test_unreachable(self):
        """A change during a long outage ends as unknown, with its apply id."""
        base = await read_stored(self.platform)
        self.platform.is_down = True
        outcome = await self.apply(wanted("ana"), base=base, resolve_seconds=0.2)
        self.assertIsInstance(outcome, Unknown)
        self.assertEqual(outcome.apply_id, "ana-7001")

    async def test_outage_that_ends(self):
        """A change is retried until a short outage ends."""
        base = await read_stored(self.platform)
        self.platform.is_down = True
        asyncio.get_running_loop().call_later(
            0.1, setattr, self.platform, "is_down", False
        )
        self.assertIsInstance(await self.apply(wanted("ana"), base=base), Accepted)

    async def test_malformed_stored_value(self):
        """A malformed stored value raises ValueError."""
        for value in (b"", b"{}", b"[1]", b'{"version": "x"}', b"\x00\xff"):
            with self.subTest(value=value):
                with self.assertRaises(ValueError):
                    decode_configuration(value)
                with self.assertRaises(ValueError):
                    unpack(value)

    async def test_packed_for_peers_and_agents(self):
        """A peer's copy is complete; an agent's has only its service."""
        await self.apply(wanted("ana"))
        value = (await self.platform.read(CONFIGURATION)).values_by_key[CONFIGURATION]
        self.assertEqual(unpack(pack(value.value)), value.value)
        own = decode_configuration(unpack(pack(value.value, service="maps")))
        self.assertEqual(list(own.services_by_name), ["maps"])
        other = decode_configuration(unpack(pack(value.value, service="logs")))
        self.assertEqual((other.version, other.services_by_name), (1, {}))
        self.assertEqual(
            decode_stored(unpack(pack(value.value, service="x"))).files, {}
        )
        with self.assertRaises(ValueError):
            unpack(pack(value.value)[:-3])

    async def test_platform_with_an_older_value(self):
        """After a restore the next version is greater than any in force."""
        outcome = await self.apply(wanted("ana"), newest_in_force=41)
        self.assertEqual(outcome.version, 42)
