"""Orders of the store's answers around a restore, enumerated in virtual time."""

import asyncio
import random
import unittest
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from types import SimpleNamespace

import msgspec
from structlog.testing import capture_logs

from monsoonpier.balancer.configuration_copy import (
    ConfigurationCopies,
    ConfigurationCopy,
)
from monsoonpier.balancer.peers import Peers
from monsoonpier.balancer.store_generation import StoreGeneration
from monsoonpier.balancer.store_link import StoreLink
from monsoonpier.store.interface import Put
from monsoonpier.store.keys import BALANCERS, CONFIGURATION_COPY
from monsoonpier.wire.frames import FrameCodec
from standins.held_store import (
    PROMPT,
    Course,
    HeldStore,
    SharedStore,
    run_in_virtual_time,
)
from standins.store import Store
from tests.rig import KEYS, balancer

NAMES = ("lb-1", "lb-2", "lb-3")  # lb-3 is the one that doesn't watch
DOWN_SECONDS = 0.5
BOUND_SECONDS = 2.0  # of the drill, for calls that are answered at once
GOSSIP_SECONDS = 0.1
LATE = 0.4
OLD, NEW = 0.7, 1.4  # a request or an answer is held beyond the restore
# Courses by what they cost beyond the bound.
COURSES = (
    (Course(answer_seconds=LATE), LATE),
    (Course(sent_seconds=LATE), LATE),
    (Course(answer_seconds=OLD), OLD),
    (Course(sent_seconds=OLD), OLD),
    (Course(answer_seconds=NEW), NEW),
    (Course(is_error=True), 1.5),
    (Course(is_error=True, is_executed=False), 1.5),
    (Course(is_answered=False), 4.0),
    (Course(is_answered=False, is_executed=False), 4.0),
    (Course(has_generation=False), 2.5),
    (Course(is_answered=False, late_seconds=1.0), 4.0),
    (Course(is_answered=False, late_seconds=3.0), 4.0),
    (Course(is_answered=False, late_seconds=5.0), 4.0),
)


@dataclass(kw_only=True)
class Case:
    """One order of events.

    Attributes:
        down_at: When the store goes down, from the start.
        restores: How often it is restored, 0.3 s apart.
        backup_at: When the backup is made; 0 is before any registration.
        deviations: The calls that aren't prompt, by balancer and number of its call,
            counted from ``counted_from``.
        counted_from: From when calls are counted.
        gossip_seconds: Delay of gossip.
        leaver: A balancer that leaves ``leaves_after`` seconds after the restore.
        unanswered: Name of the calls that get no answer from the restore on.
        seed: The seed of all jitter.
    """

    down_at: float = 3.0
    restores: int = 1
    backup_at: float = 0.0
    deviations: dict[tuple[str, int], int] = field(default_factory=dict)
    counted_from: float = 0.0
    gossip_seconds: float = GOSSIP_SECONDS
    leaver: str = ""
    leaves_after: float = 0.0
    unanswered: str = ""
    seed: int = 1


@dataclass(kw_only=True)
class Outcome:
    """What became of a case.

    Attributes:
        registered_after: Seconds from the restore, by balancer.
        missing: Balancers missing at a later moment, with the moment.
        has_copy: Whether the configuration copy is in the store at the end.
        calls: The counted calls, by balancer.
    """

    registered_after: dict[str, float] = field(default_factory=dict)
    missing: list[tuple[str, float]] = field(default_factory=list)
    has_copy: bool = False
    calls: dict[str, list[str]] = field(default_factory=dict)


class _Deployment:
    """Three store links on one store, with gossip of the generation."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.shared = SharedStore(store=Store())
        self.links_by_name: dict[str, StoreLink] = {}
        self.generations_by_name: dict[str, StoreGeneration] = {}
        self.peers_by_name: dict[str, Peers] = {}
        self.outcome = Outcome(calls={name: [] for name in NAMES})
        self.began = asyncio.get_running_loop().time()
        records = [
            msgspec.structs.replace(balancer(host=host).peers.own, name=name)
            for host, name in enumerate(NAMES, start=1)
        ]
        for record in records:
            peers = Peers(own=record)
            for other in records:
                peers.learn(other)
            self._add(record.name, peers)

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return asyncio.get_running_loop().time() - self.began

    def _add(self, name: str, peers: Peers) -> None:
        client = HeldStore(
            shared=self.shared, course=lambda call: self._course(name, call)
        )
        configuration = SimpleNamespace(
            version=3,
            value_bytes=6,
            copy=ConfigurationCopy(version=3, packed=b"packed"),
            apply=lambda _value: None,
            apply_packed=lambda _packed: None,
        )
        generation = StoreGeneration()
        self.peers_by_name[name] = peers
        self.generations_by_name[name] = generation
        self.links_by_name[name] = StoreLink(
            store=client,
            peers=peers,
            codec=FrameCodec(keys=KEYS),
            copies=ConfigurationCopies(store=client, keys=KEYS),
            configuration=configuration,
            evacuate=lambda _update: None,
            draw=random.Random(f"{name} {self.case.seed}"),
            clock=asyncio.get_running_loop().time,
            generation=generation,
            on_restored=lambda _old, _revision: self._gossip(name),
        )

    def _course(self, name: str, call: str) -> Course:
        if self.now < self.case.counted_from:
            return PROMPT
        if self.shared.store.generation and call == self.case.unanswered:
            return Course(is_answered=False)
        calls = self.outcome.calls[name]
        calls.append(call)
        chosen = self.case.deviations.get((name, len(calls) - 1))
        return PROMPT if chosen is None else COURSES[chosen][0]

    def _gossip(self, name: str) -> None:
        number = self.generations_by_name[name].number
        asyncio.get_running_loop().call_later(
            self.case.gossip_seconds, self._receive, name, number
        )

    def _receive(self, sender: str, number: int) -> None:
        for name, generation in self.generations_by_name.items():
            now = asyncio.get_running_loop().time()
            if name != sender and generation.learn(number, source="peer", now=now):
                self.links_by_name[name].store_restored()

    def registered(self) -> set[str]:
        """Return the names of the balancers in the store."""
        store = self.shared.store
        found = store.read("", end=b"\xff", now=asyncio.get_running_loop().time())
        keys = {BALANCERS + name: name for name in NAMES}
        return {name for key, name in keys.items() if key in found.values_by_key}

    async def _restore(self) -> None:
        store = self.shared.store
        backup = store.backup()
        if self.case.backup_at:
            await asyncio.sleep(self.case.backup_at)
            backup = store.backup()
        await asyncio.sleep(self.case.down_at - self.case.backup_at)
        self.shared.is_down = True
        await asyncio.sleep(DOWN_SECONDS)
        for number in range(self.case.restores):
            if number:
                await asyncio.sleep(0.3)
            store.restore(backup)
            self.shared.is_down = False

    async def _leave(self) -> None:
        await asyncio.sleep(self.case.leaves_after)
        self.peers_by_name[self.case.leaver].leave()
        await self.links_by_name[self.case.leaver].leave()

    async def run(self) -> Outcome:
        """Run the case to 62 s after the store is back."""
        jobs = [asyncio.create_task(link.run()) for link in self.links_by_name.values()]
        await self._restore()
        back_at = self.now
        if self.case.leaver:
            jobs.append(asyncio.create_task(self._leave()))
        outcome = self.outcome
        while (after := self.now - back_at) < 62.0:
            present = self.registered()
            for name in present:
                outcome.registered_after.setdefault(name, after)
            for name in outcome.registered_after.keys() - present:
                if name != self.case.leaver:
                    outcome.missing.append((name, round(after, 2)))
            await asyncio.sleep(0.05 if after < 6.0 else 0.5)
        read = self.shared.store.read(CONFIGURATION_COPY, now=self.began)
        outcome.has_copy = bool(read.values_by_key)
        for job in jobs:
            job.cancel()
        results = await asyncio.gather(*jobs, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception):
                raise result
        return outcome


def run_case(case: Case) -> Outcome:
    """Return the outcome of a case."""

    async def run() -> Outcome:
        return await _Deployment(case).run()

    with capture_logs():
        return run_in_virtual_time(run())


def faults_of(case: Case, outcome: Outcome) -> list[str]:
    """Return what a case shows that must not be."""
    bound = BOUND_SECONDS + sum(COURSES[c][1] for c in case.deviations.values())
    bound += case.gossip_seconds - GOSSIP_SECONDS
    found = [
        f"{name} registered after {outcome.registered_after.get(name, 99):.2f} s"
        for name in NAMES
        if name != case.leaver and outcome.registered_after.get(name, 99) > bound
    ]
    late = [(name, at) for name, at in outcome.missing if at > bound]
    if late:
        found.append(f"lost again: {late[0]} to {late[-1]}")
    if not outcome.has_copy and not case.leaver:
        found.append("no copy")
    return found


class OrderTests(unittest.TestCase):
    """Three balancers whose calls are held, lost or answered late."""

    def _check(self, case: Case) -> Outcome:
        outcome = run_case(case)
        self.assertEqual(faults_of(case, outcome), [], case)
        return outcome

    def _deviating(self, base: Case, *calls: str) -> Iterator[Case]:
        """Yield the case with each course of each of its first calls of that name."""
        for name, made in run_case(base).calls.items():
            for number, call in enumerate(made[:5]):
                if call in calls:
                    for course in range(len(COURSES)):
                        yield replace(base, deviations={(name, number): course})

    def test_first_registration(self) -> None:
        """The store is restored while the balancers register."""
        base = Case(down_at=0.3)
        for case in self._deviating(base, "grant", "transact"):
            self._check(case)

    def test_registration_again(self) -> None:
        """Leases are renewed when the store is restored twice."""
        base = Case(down_at=9.3, restores=2, counted_from=9.8)
        for case in self._deviating(base, "grant", "transact", "renew"):
            self._check(case)

    def test_watch_reveals_a_restore(self) -> None:
        """Reads without an answer don't delay the new registrations."""
        self._check(Case(unanswered="read"))


class _OneBalancer:
    """A store link, and another process that uses the same store."""

    def __init__(self, *, epoch: int = 1) -> None:
        own = msgspec.structs.replace(balancer("b1").peers.own, epoch=epoch)
        self.shared = SharedStore(store=Store())
        self.next_courses: dict[str, Course] = {}
        self.client = self._client()
        self.other = HeldStore(shared=self.shared, course=lambda _name: PROMPT)
        self.link = StoreLink(
            store=self.client,
            peers=Peers(own=own),
            codec=FrameCodec(keys=KEYS),
            copies=ConfigurationCopies(store=self.client, keys=KEYS),
            configuration=SimpleNamespace(version=0),
            evacuate=lambda _update: None,
            draw=random.Random(1),
            clock=asyncio.get_running_loop().time,
        )
        self.registration = self.link.registration

    def _client(self) -> HeldStore:
        return HeldStore(
            shared=self.shared,
            course=lambda name: self.next_courses.pop(name, PROMPT),
        )

    def keys(self) -> set[str]:
        now = asyncio.get_running_loop().time()
        found = self.shared.store.read("", end=b"\xff", now=now)
        return {key.removeprefix(BALANCERS) for key in found.values_by_key}

    async def register_other(self) -> int:
        """Register the other process; return its lease."""
        lease = await self.other.grant(ttl_seconds=60)
        put = Put(key=BALANCERS + "other", value=b"other", lease=lease)
        await self.other.transact(compares=(), puts=(put,))
        return lease


class LeaseTests(unittest.TestCase):
    """Leases that a registration must not be bound to, or must not end."""

    def test_late_write(self) -> None:
        """A write that takes effect after its repetition doesn't end it."""

        async def run() -> None:
            one = _OneBalancer()
            one.next_courses["transact"] = Course(is_answered=False, late_seconds=3.0)
            running = asyncio.create_task(one.registration.run())
            for _ in range(20):
                await asyncio.sleep(5.0)
                self.assertEqual(one.keys(), {"b1"})
            running.cancel()

        run_in_virtual_time(run())

    def test_late_write_of_the_previous_process(self) -> None:
        """A write of a process that was killed doesn't end its successor's."""

        async def run() -> None:
            old, new = _OneBalancer(), _OneBalancer()
            new.shared.store = old.shared.store
            old.next_courses["transact"] = Course(is_answered=False, late_seconds=3.0)
            killed = asyncio.create_task(old.registration.run())
            await asyncio.sleep(1.0)
            killed.cancel()
            running = asyncio.create_task(new.registration.run())
            for at in range(5, 105, 5):
                await asyncio.sleep(5.0)
                self.assertEqual(new.keys(), {"b1"}, at)
            running.cancel()

        run_in_virtual_time(run())

    def test_leaving_beside_a_successor(self) -> None:
        """After a restore that it doesn't know of, it leaves its successor in place."""

        async def run() -> None:
            old, new = _OneBalancer(), _OneBalancer(epoch=2)
            new.shared.store = old.shared.store
            backup = old.shared.store.backup()
            await old.registration.renew_or_register()
            old.shared.store.restore(backup)
            new.client.generation = 1  # so that it makes one grant
            running = asyncio.create_task(new.registration.run())
            await asyncio.sleep(1.0)
            await old.link.leave()
            for _ in range(12):
                await asyncio.sleep(5.0)
                self.assertEqual(new.keys(), {"b1"})
            running.cancel()

        run_in_virtual_time(run())

    def test_leaving_before_the_check(self) -> None:
        """A balancer that leaves is removed, if a write of its own came late."""

        async def run() -> None:
            one = _OneBalancer()
            one.next_courses["transact"] = Course(is_answered=False, late_seconds=3.0)
            running = asyncio.create_task(one.registration.run())
            await asyncio.sleep(5.0)
            self.assertEqual(one.keys(), {"b1"})
            running.cancel()
            await one.link.leave()
            self.assertEqual(one.keys(), set())

        run_in_virtual_time(run())

    def test_grant_of_an_earlier_generation(self) -> None:
        """A lease granted before a restore isn't used after it, if it can be known."""

        async def run() -> None:
            one = _OneBalancer()
            await one.client.read(BALANCERS, prefix=True)
            backup = one.shared.store.backup()
            one.next_courses["grant"] = Course(answer_seconds=1.0)
            running = asyncio.create_task(one.registration.renew_or_register())
            await asyncio.sleep(0.5)
            one.shared.store.restore(backup)
            lease = await one.register_other()
            await one.link._read()
            await running
            self.assertEqual(one.keys(), {"b1", "other"})
            await one.other.revoke(lease)
            self.assertEqual(one.keys(), {"b1"})

        run_in_virtual_time(run())

    def test_leaving_after_an_unknown_restore(self) -> None:
        """A balancer that leaves doesn't end the other process's registration."""

        async def run() -> None:
            one = _OneBalancer()
            backup = one.shared.store.backup()
            await one.registration.renew_or_register()
            one.shared.store.restore(backup)
            lease = await one.register_other()
            self.assertEqual(lease, one.registration.lease.id)
            await one.link.leave()
            self.assertEqual(one.keys(), {"other"})

        run_in_virtual_time(run())
