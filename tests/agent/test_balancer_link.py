"""Tests of an agent that no balancer has responded to."""

import asyncio
import random
import unittest

from monsoonpier.agent.balancer_link import BalancerLink, target_record
from monsoonpier.model.address import Address
from monsoonpier.model.settings import Settings, TargetSettings
from monsoonpier.model.target import LoadReport
from monsoonpier.store.interface import Put, StoreError
from monsoonpier.store.keys import BALANCERS
from monsoonpier.wire.frames import FrameCodec
from standins.fake_store import FakeStore
from tests.rig import KEYS, balancer

SEED = Address(ip="127.0.0.9", port=7720)
LIMIT_SECONDS = 10.0  # far above what the test takes


def settings() -> Settings:
    address = Address(ip="127.0.0.1", port=7720)
    return Settings(
        role="agent",
        name="maps-1",
        data_centre="dc-1",
        platform=(),
        keys=KEYS,
        internal=address,
        control=address,
        metrics=address,
        seeds=(SEED,),
        target=TargetSettings(service="maps", url="http://127.0.0.1:1"),
    )


class CutOffTests(unittest.IsolatedAsyncioTestCase):
    """Seeds do not respond, since they start last."""

    async def asyncSetUp(self) -> None:
        self.store = FakeStore()
        self.sent: asyncio.Queue = asyncio.Queue()
        self.link = BalancerLink(
            settings=settings(),
            store=self.store,
            record=target_record(settings(), instance=b"i-1"),
            send=lambda data, endpoint: self.sent.put_nowait(endpoint),
            read_load=lambda: LoadReport(number=1),
            configure=None,
            evacuate=lambda: None,
            draw=random.Random(1),
        )

    async def until_sent_to(self, endpoint: tuple[str, int]) -> int:
        """Return how many announcements were sent elsewhere before."""
        finding = asyncio.create_task(self.link._find_balancers_forever())
        self.addCleanup(finding.cancel)
        others = 0
        async with asyncio.timeout(LIMIT_SECONDS):
            while await self.sent.get() != endpoint:
                others += 1
        return others

    async def test_balancers_in_the_store(self) -> None:
        """Registered balancers get announcements as soon as the store is read."""
        other = balancer("b2", host=2).peers.own
        value = FrameCodec(keys=KEYS).encode(other)
        put = Put(key=BALANCERS + "b2", value=value, lease=0)
        await self.store.transact(compares=(), puts=(put,))
        others = await self.until_sent_to(other.endpoint)
        self.assertLessEqual(others, 2)

    async def test_store_unreachable(self) -> None:
        """While the store doesn't respond, the seeds still get announcements."""
        gone = asyncio.Event()

        async def read(*args, **more):
            await gone.wait()
            raise StoreError("away")

        self.store.read = read
        self.assertEqual(await self.until_sent_to(SEED.endpoint), 0)
        async with asyncio.timeout(LIMIT_SECONDS):
            for _ in range(3):
                self.assertEqual(await self.sent.get(), SEED.endpoint)
        gone.set()
