"""Evacuation orders: races, lost responses, obstacles, and the commands."""

import contextlib
import io
import random
import unittest

import msgspec

from monsoonpier.exits import ExitStatus
from monsoonpier.model.target import Condition, LoadReport
from monsoonpier.operator.conditional_write import PreconditionFailed, Written
from monsoonpier.operator.evacuation_commands import (
    evacuate,
    evacuation_lines,
    readmit,
)
from monsoonpier.operator.evacuation_orders import (
    EvacuationOrder,
    find_obstacles,
    read_evacuation_audit,
    read_orders,
    remove_order,
    store_order,
)
from monsoonpier.store.interface import Put
from monsoonpier.store.keys import EVACUATIONS
from monsoonpier.wire.control import StatusReply, TargetStatus
from standins.fake_store import FakeStore
from tests.rig import record


def order(who: str, *, at: int = 1) -> EvacuationOrder:
    """Return an operator's order for the first data centre."""
    return EvacuationOrder(
        data_centre="dc-1",
        order_id=f"{who}-{at}",
        who=who,
        at=f"2026-01-01T20:00:{at:02d}+00:00",
    )


def target(
    name: str, *, service: str = "maps", data_centre: str = "dc-1", flows: int = 0
):
    """Return a serving target as balancers report it."""
    made = msgspec.structs.replace(
        record(name),
        service=service,
        data_centre=data_centre,
        condition=Condition.SERVING,
    )
    load = LoadReport(number=1, flows=flows)
    return TargetStatus(record=made, load=load, suspected=False)


class OrderTests(unittest.IsolatedAsyncioTestCase):
    """Orders in the store, with their audit trail."""

    async def asyncSetUp(self) -> None:
        self.platform = FakeStore()
        self.draw = random.Random(1)

    async def store_order(self, wanted: EvacuationOrder):
        return await store_order(self.platform, wanted, draw=self.draw)

    async def remove_order(self, wanted: EvacuationOrder):
        stored = (await read_orders(self.platform))["dc-1"]
        return await remove_order(self.platform, wanted, stored=stored, draw=self.draw)

    async def test_stored_and_removed(self):
        """An order is in force until removed; both are in the audit trail."""
        self.assertIsInstance(await self.store_order(order("ana")), Written)
        self.assertEqual(set(await read_orders(self.platform)), {"dc-1"})
        self.assertIsInstance(await self.remove_order(order("ben", at=2)), Written)
        self.assertEqual(await read_orders(self.platform), {})
        entries = await read_evacuation_audit(self.platform)
        self.assertEqual(
            [(entry.who, entry.note) for entry in entries],
            [("ana", "evacuate"), ("ben", "readmit")],
        )

    async def test_second_order(self):
        """A second order for a data centre is rejected, changing nothing."""
        await self.store_order(order("ana"))
        self.assertIsInstance(
            await self.store_order(order("ben", at=2)), PreconditionFailed
        )
        self.assertEqual((await read_orders(self.platform))["dc-1"].entry.who, "ana")
        self.assertEqual(len(await read_evacuation_audit(self.platform)), 1)

    async def test_removed_twice(self):
        """Removing an order that was already removed is rejected."""
        await self.store_order(order("ana"))
        stored = (await read_orders(self.platform))["dc-1"]
        await self.remove_order(order("ben", at=2))
        late = await remove_order(
            self.platform, order("ana", at=3), stored=stored, draw=self.draw
        )
        self.assertIsInstance(late, PreconditionFailed)

    async def test_revision_reused_after_a_restore(self):
        """An order with a revision reused after a restore isn't removed."""
        backup = self.platform.store.backup()
        await self.store_order(order("ana"))
        stored = (await read_orders(self.platform))["dc-1"]
        self.platform.store.restore(backup)
        await self.store_order(order("ben", at=2))
        again = (await read_orders(self.platform))["dc-1"]
        self.assertEqual(again.revision.number, stored.revision.number)
        late = await remove_order(
            self.platform, order("ana", at=3), stored=stored, draw=self.draw
        )
        self.assertIsInstance(late, PreconditionFailed)
        self.assertEqual((await read_orders(self.platform))["dc-1"].entry.who, "ben")

    async def test_lost_answers(self):
        """Lost responses to storing and removing an order are resolved."""
        self.platform.lost_answers = 1
        self.assertIsInstance(await self.store_order(order("ana")), Written)
        self.platform.lost_answers = 1
        self.assertIsInstance(await self.remove_order(order("ana", at=2)), Written)
        self.assertEqual(len(await read_evacuation_audit(self.platform)), 2)

    async def test_written_by_hand(self):
        """An order that no command wrote is in force and can be removed."""
        put = Put(key=EVACUATIONS + "dc-1", value=b"\xff")
        await self.platform.transact(compares=(), puts=(put,))
        self.assertEqual(
            (await read_orders(self.platform))["dc-1"].entry.who, "unknown"
        )
        self.assertIsInstance(await self.remove_order(order("ben")), Written)


class ObstacleTests(unittest.TestCase):
    """Reasons not to evacuate a data centre."""

    def test_none(self):
        """There is none if other data centres serve all its services."""
        targets = [target("maps-1"), target("maps-2", data_centre="dc-2")]
        self.assertEqual(find_obstacles("dc-1", targets, evacuated=()), [])

    def test_unknown_data_centre(self):
        """A data centre without targets is unknown; known ones are listed."""
        (problem,) = find_obstacles("dc-9", [target("maps-1")], evacuated=())
        self.assertIn("dc-1", problem)

    def test_last_one(self):
        """Each service that would have no targets left is listed."""
        targets = [
            target("maps-1"),
            target("logs-1", service="logs"),
            target("maps-2", data_centre="dc-2"),
            target("logs-2", service="logs", data_centre="dc-3"),
        ]
        problems = find_obstacles("dc-1", targets, evacuated=("dc-3",))
        self.assertEqual(len(problems), 1)
        self.assertIn("'logs'", problems[0])


class StatusTests(unittest.IsolatedAsyncioTestCase):
    """Evacuations in the output of ``status``."""

    async def test_open_flows(self):
        """Open flows that several balancers report are counted once."""
        platform = FakeStore()
        await store_order(platform, order("ana"), draw=random.Random(1))
        status = StatusReply(
            name="b1",
            role="balancer",
            data_centre="dc-1",
            state="running",
            version=1,
            uptime=1.0,
            targets=(target("maps-1", flows=7), target("maps-2", data_centre="dc-2")),
        )
        (line,) = evacuation_lines(await read_orders(platform), [status, status])
        self.assertIn("by ana", line)
        self.assertIn("7 flows still open", line)


class Session:
    """An operator's session with two balancers that follow the store."""

    def __init__(self, *targets: TargetStatus) -> None:
        self.platform = FakeStore()
        self.draw = random.Random(1)
        self.targets = targets
        self.lagging: frozenset[str] = frozenset()

    async def balancers(self) -> dict[str, None]:
        """Return the balancers' names."""
        return {"b1": None, "b2": None}

    async def statuses(self, balancers) -> dict[str, StatusReply]:
        """Return statuses with the stored orders unless a balancer lags."""
        orders = tuple(sorted(await read_orders(self.platform)))
        return {
            name: StatusReply(
                name=name,
                role="balancer",
                data_centre="dc-1",
                state="running",
                version=1,
                uptime=1.0,
                targets=self.targets,
                evacuated=() if name in self.lagging else orders,
            )
            for name in balancers
        }


class CommandTests(unittest.IsolatedAsyncioTestCase):
    """Effects and output of ``evacuate`` and ``readmit``."""

    async def asyncSetUp(self) -> None:
        self.session = Session(target("maps-1"), target("maps-2", data_centre="dc-2"))
        self.out, self.err = io.StringIO(), io.StringIO()
        self.enterContext(contextlib.redirect_stdout(self.out))
        self.enterContext(contextlib.redirect_stderr(self.err))

    async def evacuate(self, data_centre: str, **options) -> int:
        fields = {"who": "ana", "force": False, "wait_seconds": 0.2} | options
        return await evacuate(self.session, data_centre, **fields)

    async def test_evacuate_and_readmit(self):
        """Both commands wait until their order is in force everywhere."""
        self.assertEqual(await self.evacuate("dc-1"), ExitStatus.OK)
        self.assertEqual(
            await readmit(self.session, "dc-1", who="ana", wait_seconds=0.2),
            ExitStatus.OK,
        )
        self.assertEqual(self.out.getvalue().count("in force on 2 balancers"), 2)
        self.assertEqual(await read_orders(self.session.platform), {})

    async def test_rejected(self):
        """Unknown, last and already evacuated data centres are rejected."""
        self.assertEqual(await self.evacuate("dc-9"), ExitStatus.BAD_INPUT)
        await self.evacuate("dc-1")
        self.assertEqual(await self.evacuate("dc-1"), ExitStatus.CONFLICT)
        self.assertEqual(await self.evacuate("dc-2"), ExitStatus.BAD_INPUT)
        self.assertIn("last data centre that serves 'maps'", self.err.getvalue())
        self.assertEqual(set(await read_orders(self.session.platform)), {"dc-1"})

    async def test_forced(self):
        """The last serving data centre is evacuated with ``--force``."""
        await self.evacuate("dc-1")
        self.assertEqual(await self.evacuate("dc-2", force=True), ExitStatus.OK)

    async def test_not_evacuated(self):
        """Readmitting what isn't evacuated lists the evacuated ones."""
        await self.evacuate("dc-1")
        status = await readmit(self.session, "dc-2", who="ana", wait_seconds=0.0)
        self.assertEqual(status, ExitStatus.BAD_INPUT)
        self.assertIn("evacuated: dc-1", self.err.getvalue())

    async def test_lagging(self):
        """A balancer that doesn't follow an order in time is named."""
        self.session.lagging = frozenset({"b2"})
        self.assertEqual(await self.evacuate("dc-1"), ExitStatus.LAGGING)
        self.assertIn("b2", self.err.getvalue())

    async def test_platform_unreachable(self):
        """A command fails if the platform is unreachable."""
        self.session.platform.is_down = True
        self.assertEqual(await self.evacuate("dc-1"), ExitStatus.UNAVAILABLE)
