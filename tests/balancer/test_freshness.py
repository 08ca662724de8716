"""The age of what a balancer knows of the store, whatever ails those that watch it."""

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable

from monsoonpier.balancer.actions import FetchConfiguration
from monsoonpier.balancer.freshness import Freshness, FreshnessLimits, Validation
from monsoonpier.balancer.membership import Membership
from monsoonpier.balancer.store_link import POLL_SECONDS
from monsoonpier.model.evacuation import evacuation
from monsoonpier.model.revision import NO_REVISION, Revision
from monsoonpier.model.service import Configuration
from monsoonpier.wire.frames import FreshnessReply
from standins.held_store import run_in_virtual_time
from standins.store_fleet import FAULTS_BY_NAME, FleetBalancer, StoreFleet
from tests.rig import KEYS, balancer

BOUND_SECONDS = 3.0  # in which a change must be in force
CALM_SECONDS = 15.0  # from the start to the fault
CHANGE_SECONDS = 2.0  # from the fault to the change
OBSERVED_SECONDS = 24.0  # after the change


def start_fleet(*, balancers: int, data_centres: int, seed: int = 1, loss: float = 0.0):
    """Start a fleet with the bound of these tests."""
    return StoreFleet(
        balancers=balancers,
        data_centres=data_centres,
        bound_seconds=BOUND_SECONDS,
        keys=KEYS,
        seed=seed,
        loss=loss,
    )


class FleetTests(unittest.TestCase):
    """Changes in the store while balancers that watch it fail, in virtual time."""

    def _late(self, fleet: StoreFleet, ailing: list[FleetBalancer], since: float):
        """Return the healthy balancers for which a change came too late."""
        return {
            each.record.name: (each.in_force_at.get(2), each.evacuated_at.get("dc-9"))
            for each in fleet.running
            if each not in ailing
            and max(
                each.in_force_at.get(2, float("inf")),
                each.evacuated_at.get("dc-9", float("inf")),
            )
            > max(since, each.started_at) + BOUND_SECONDS
        }

    def _play(
        self,
        *,
        balancers: int,
        data_centres: int,
        choose: Callable[[list[FleetBalancer]], list[FleetBalancer]],
        fault: str,
        seed: int = 1,
        loss: float = 0.0,
        meanwhile: Callable[[StoreFleet], Awaitable[None]] | None = None,
    ) -> dict:
        """Return for whom a change after the fault was late."""

        async def play() -> dict:
            fleet = start_fleet(
                balancers=balancers, data_centres=data_centres, seed=seed, loss=loss
            )
            await asyncio.sleep(CALM_SECONDS)
            ailing = choose(fleet.watchers)
            for each in ailing:
                FAULTS_BY_NAME[fault](fleet, each)
            await asyncio.sleep(CHANGE_SECONDS)
            began = asyncio.get_running_loop().time()
            fleet.put_configuration(2)
            fleet.put_evacuation("dc-9")
            if meanwhile is not None:
                await meanwhile(fleet)
            await asyncio.sleep(OBSERVED_SECONDS)
            late = self._late(fleet, ailing, began)
            await fleet.stop()
            return late

        return run_in_virtual_time(play())

    def test_all_watchers_fail(self):
        """A change is in force in time though nobody who watches tells of it.

        Guards against balancers that rely on watchers that are lost, paused or cut
        off from the store, and act on an old configuration (review case 3).
        """
        for balancers, data_centres in ((4, 1), (6, 1), (24, 3)):
            for fault in FAULTS_BY_NAME:
                with self.subTest(balancers=balancers, fault=fault):
                    late = self._play(
                        balancers=balancers,
                        data_centres=data_centres,
                        choose=lambda watchers: watchers,
                        fault=fault,
                    )
                    self.assertEqual(late, {})

    def test_some_watchers_fail(self):
        """The same if one watcher fails, or all of one data centre."""
        for fault in FAULTS_BY_NAME:
            for count, data_centres in ((1, 3), (1, 1), (2, 2)):
                with self.subTest(fault=fault, count=count):
                    late = self._play(
                        balancers=12,
                        data_centres=data_centres,
                        choose=lambda watchers, count=count: sorted(
                            watchers, key=lambda each: each.record.data_centre
                        )[:count],
                        fault=fault,
                    )
                    self.assertEqual(late, {})

    def test_lost_datagrams(self):
        """The same while a fifth of the datagrams is lost."""
        for seed in range(3):
            with self.subTest(seed=seed):
                late = self._play(
                    balancers=12,
                    data_centres=3,
                    choose=lambda watchers: watchers,
                    fault="cut off",
                    seed=seed,
                    loss=0.2,
                )
                self.assertEqual(late, {})

    def test_started_with_an_old_copy(self):
        """A balancer that starts with an old copy has the newest version in time.

        Guards against taking the copy for a read of the configuration.
        """
        for has_watchers in (True, False):
            with self.subTest(has_watchers=has_watchers):
                seconds = run_in_virtual_time(self._start_late(has_watchers))
                self.assertLessEqual(seconds, BOUND_SECONDS)

    async def _start_late(self, has_watchers: bool) -> float:
        """Return when a started balancer has the newest version, after its start."""
        fleet = start_fleet(balancers=4, data_centres=1)
        await asyncio.sleep(CALM_SECONDS)
        watchers = fleet.watchers
        started = next(each for each in fleet.running if each not in watchers)
        for each in fleet.running:
            each.is_cut_off = not (has_watchers and each in watchers)
        fleet.put_configuration(2)
        fleet.put_copy(1)
        started = fleet.restart(started)
        began = asyncio.get_running_loop().time()
        await asyncio.sleep(OBSERVED_SECONDS)
        await fleet.stop()
        return started.in_force_at.get(2, float("inf")) - began

    def test_restarts_in_turn(self):
        """A change is in force in time while the watchers restart in turn."""

        async def restart(fleet: StoreFleet) -> None:
            for each in fleet.running:
                fleet.restart(each)
                await asyncio.sleep(1.0)

        late = self._play(
            balancers=6,
            data_centres=3,
            choose=lambda _watchers: [],
            fault="killed",
            meanwhile=restart,
        )
        self.assertEqual(late, {})

    async def _seconds_until(
        self, condition: Callable[[FleetBalancer], bool], *, of: list[FleetBalancer]
    ) -> float:
        """Return after how many seconds a condition holds for these balancers."""
        now = asyncio.get_running_loop().time
        began = now()
        while not all(condition(each) for each in of):
            if now() - began > 2 * POLL_SECONDS:
                break
            await asyncio.sleep(0.05)
        return now() - began

    def test_restored_store(self):
        """A restore of the store is known in time though no watcher reaches it."""

        async def play(fault: str) -> float:
            fleet = start_fleet(balancers=24, data_centres=3)
            await asyncio.sleep(CALM_SECONDS)
            ailing = fleet.watchers
            for each in ailing:
                FAULTS_BY_NAME[fault](fleet, each)
            fleet.restore()
            seconds = await self._seconds_until(
                lambda each: each.membership.store_generation.number == 1,
                of=[each for each in fleet.running if each not in ailing],
            )
            await fleet.stop()
            return seconds

        for fault in FAULTS_BY_NAME:
            with self.subTest(fault=fault):
                seconds = run_in_virtual_time(play(fault))
                self.assertLessEqual(seconds, BOUND_SECONDS)

    def test_registered_balancer(self):
        """Each balancer reads the registered ones now and then, watchers too."""

        async def play() -> float:
            fleet = start_fleet(balancers=6, data_centres=3)
            await asyncio.sleep(CALM_SECONDS)
            fleet.register(balancer("b99", host=99).peers.own)
            seconds = await self._seconds_until(
                lambda each: "b99" in each.membership.peers.records_by_name,
                of=fleet.running,
            )
            await fleet.stop()
            return seconds

        self.assertLessEqual(run_in_virtual_time(play()), POLL_SECONDS)

    def test_calm(self):
        """Without a fault only those that watch call the store for changes.

        All read the registered balancers now and then.
        """

        async def play() -> tuple[set[str], set[str]]:
            fleet = start_fleet(balancers=24, data_centres=3)
            await asyncio.sleep(CALM_SECONDS)
            fleet.calls.clear()
            fleet.value_reads.clear()
            await asyncio.sleep(OBSERVED_SECONDS)
            callers = {
                name
                for _, name, call in fleet.calls
                if call in ("watch", "read_changes")
            }
            self.assertEqual(fleet.value_reads, [])
            watchers = {each.record.name for each in fleet.watchers}
            await fleet.stop()
            return callers, watchers

        callers, watchers = run_in_virtual_time(play())
        self.assertEqual(callers, watchers)


class FreshnessTests(unittest.TestCase):
    """What a reply of a peer says about the present."""

    def setUp(self):
        self.membership = Membership(own=balancer("b1").peers.own, started_at=100.0)
        self.peer = balancer("b2", host=2).peers.own
        self.membership.peers.learn(self.peer)
        self.draw = random.Random(1)
        self.freshness = self.membership.freshness

    def _query(self, *, now: float) -> int:
        (action,) = self.membership.freshness_queries(now=now, draw=self.draw)
        self.assertEqual(action.endpoint, self.peer.endpoint)
        return action.frame.number

    def _reply(self, number: int, *, now: float, **content):
        fields = {
            "number": number,
            "balancer": "b2",
            "control": self.peer.control,
            "version": 0,
            "revision": 7,
            "generation": 0,
            "age_ms": 200,
        }
        return self.membership.from_process(
            FreshnessReply(**fields | content),
            sender=self.peer.endpoint,
            now=now,
            draw=self.draw,
        )

    def test_late_reply(self):
        """The age counts from the query, however long the reply was on its way."""
        number = self._query(now=101.0)
        self._reply(number, now=131.0)
        self.assertAlmostEqual(self.freshness.age(now=131.0), 30.2)
        self.assertEqual(self.freshness.revision, Revision(number=7))

    def test_reply_without_a_query(self):
        """A reply to no query, or to an answered one, validates nothing."""
        self._reply(5, now=101.0)
        self.assertEqual(self.freshness.revision, NO_REVISION)
        number = self._query(now=101.0)
        self._reply(number, now=101.1)
        self._reply(number, now=104.0, age_ms=0)
        self.assertAlmostEqual(self.freshness.age(now=104.0), 3.2)

    def test_newer_version(self):
        """A peer's newer version is fetched before its validation counts."""
        number = self._query(now=101.0)
        actions = self._reply(number, now=101.1, version=3)
        self.assertEqual(actions, [FetchConfiguration(control=self.peer.control)])
        self.assertEqual(self.freshness.revision, NO_REVISION)

    def test_older_version(self):
        """A peer that knew no newer version validates a newer one that is held."""
        self.membership.configure(Configuration(version=4))
        number = self._query(now=101.0)
        self._reply(number, now=101.1, version=3)
        self.assertAlmostEqual(self.freshness.age(now=101.1), 0.3)

    def test_orders_come_along(self):
        """A validation brings the evacuation orders that it covers."""
        order = evacuation("dc-2", written_at=Revision(number=6), is_active=True)
        number = self._query(now=101.0)
        self._reply(number, now=101.1, evacuations=(order,))
        self.assertEqual(self.membership.evacuations.active, {"dc-2"})

    def test_earlier_generation(self):
        """What a peer knew of the store before a restore validates nothing."""
        self.membership.store_generation.learn(1, source="store", now=100.0)
        number = self._query(now=101.0)
        self._reply(number, now=101.1, generation=0)
        self.assertEqual(self.freshness.revision, NO_REVISION)
        number = self._query(now=102.0)
        self._reply(number, now=102.1, generation=1)
        self.assertEqual(self.freshness.revision, Revision(generation=1, number=7))

    def test_unvalidated_peer(self):
        """A peer that has validated nothing since its start validates nothing."""
        number = self._query(now=101.0)
        self._reply(number, now=101.1, age_ms=None)
        self.assertEqual(self.freshness.revision, NO_REVISION)

    def test_doubt(self):
        """Doubt begins once, and ends after the bound without a late validation."""
        freshness = Freshness(
            limits=FreshnessLimits(bound_seconds=3.0), started_at=100.0
        )

        def validate(as_of: float) -> None:
            freshness.validate(
                Validation(revision=Revision(number=1), as_of=as_of, source="store")
            )

        validate(100.0)
        self.assertIsNone(freshness.changed_doubt(now=101.7))
        self.assertTrue(freshness.changed_doubt(now=101.9))
        validate(102.0)
        self.assertIsNone(freshness.changed_doubt(now=102.0))
        validate(104.0)
        self.assertIsNone(freshness.changed_doubt(now=104.8))
        self.assertIs(freshness.changed_doubt(now=105.0), False)
