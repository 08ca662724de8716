"""Orders to evacuate: races, lost answers, what speaks against them."""

import contextlib
import io
import random
import unittest

import msgspec

from monsoonpier.exits import Exit
from monsoonpier.model.target import Condition, LoadReport
from monsoonpier.operator.evacuate import (
    Order,
    find_obstacles,
    place_order,
    read_entries,
    read_orders,
    take_back,
)
from monsoonpier.operator.evacuation_commands import (
    evacuate,
    evacuation_lines,
    readmit,
)
from monsoonpier.operator.write import Refused, Written
from monsoonpier.store.interface import Put
from monsoonpier.store.keys import EVACUATIONS
from monsoonpier.wire.control import StatusReply, TargetStatus
from standins.fake_store import FakeStore
from tests.rig import record


def order(who: str, *, at: int = 1) -> Order:
    """Return an operator's order on the first data centre."""
    return Order(
        data_centre="dc-1",
        order_id=f"{who}-{at}",
        who=who,
        at=f"2026-01-01T20:00:{at:02d}+00:00",
    )


def target(name: str, *, service: str = "maps", place: str = "dc-1", flows: int = 0):
    """Return a serving target as a balancer tells of it."""
    made = msgspec.structs.replace(
        record(name), service=service, data_centre=place, condition=Condition.SERVING
    )
    load = LoadReport(number=1, flows=flows)
    return TargetStatus(record=made, load=load, suspected=False)


class OrderTests(unittest.IsolatedAsyncioTestCase):
    """Orders in the store, with their audit trail."""

    async def asyncSetUp(self) -> None:
        self.platform = FakeStore()
        self.draw = random.Random(1)

    async def place(self, wanted: Order):
        return await place_order(self.platform, wanted, draw=self.draw)

    async def take_back(self, wanted: Order):
        held = (await read_orders(self.platform))["dc-1"]
        return await take_back(self.platform, wanted, held=held, draw=self.draw)

    async def test_placed_and_taken_back(self):
        """An order stands until it is taken back; the audit trail keeps both."""
        self.assertIsInstance(await self.place(order("ana")), Written)
        self.assertEqual(set(await read_orders(self.platform)), {"dc-1"})
        self.assertIsInstance(await self.take_back(order("ben", at=2)), Written)
        self.assertEqual(await read_orders(self.platform), {})
        entries = await read_entries(self.platform)
        self.assertEqual(
            [(entry.who, entry.note) for entry in entries],
            [("ana", "evacuate"), ("ben", "readmit")],
        )

    async def test_second_order(self):
        """Of two operators the second is refused and changes nothing."""
        await self.place(order("ana"))
        self.assertIsInstance(await self.place(order("ben", at=2)), Refused)
        self.assertEqual((await read_orders(self.platform))["dc-1"].entry.who, "ana")
        self.assertEqual(len(await read_entries(self.platform)), 1)

    async def test_taken_back_twice(self):
        """Who takes back an order that is gone is refused."""
        await self.place(order("ana"))
        held = (await read_orders(self.platform))["dc-1"]
        await self.take_back(order("ben", at=2))
        late = await take_back(
            self.platform, order("ana", at=3), held=held, draw=self.draw
        )
        self.assertIsInstance(late, Refused)

    async def test_order_of_a_lost_history(self):
        """Another's order by the same revision isn't taken back in place of one's own.

        The store came back from a copy after the order had been read.
        """
        copy = self.platform.store.copy()
        await self.place(order("ana"))
        held = (await read_orders(self.platform))["dc-1"]
        self.platform.store.restore(copy)
        await self.place(order("ben", at=2))
        again = (await read_orders(self.platform))["dc-1"]
        self.assertEqual(again.revision.number, held.revision.number)
        late = await take_back(
            self.platform, order("ana", at=3), held=held, draw=self.draw
        )
        self.assertIsInstance(late, Refused)
        self.assertEqual((await read_orders(self.platform))["dc-1"].entry.who, "ben")

    async def test_lost_answers(self):
        """An order whose answer was lost is found to be in force, and its end too."""
        self.platform.lost_answers = 1
        self.assertIsInstance(await self.place(order("ana")), Written)
        self.platform.lost_answers = 1
        self.assertIsInstance(await self.take_back(order("ana", at=2)), Written)
        self.assertEqual(len(await read_entries(self.platform)), 2)

    async def test_written_by_hand(self):
        """An order that no command wrote holds, and can be taken back."""
        put = Put(key=EVACUATIONS + "dc-1", value=b"\xff")
        await self.platform.transact(compares=(), puts=(put,))
        self.assertEqual(
            (await read_orders(self.platform))["dc-1"].entry.who, "unknown"
        )
        self.assertIsInstance(await self.take_back(order("ben")), Written)


class ObstacleTests(unittest.TestCase):
    """What speaks against an order."""

    def test_none(self):
        """Where others serve all of its services nothing does."""
        targets = [target("maps-1"), target("maps-2", place="dc-2")]
        self.assertEqual(find_obstacles("dc-1", targets, evacuated=()), [])

    def test_unknown_place(self):
        """A place without targets is unknown; those that are known are named."""
        (problem,) = find_obstacles("dc-9", [target("maps-1")], evacuated=())
        self.assertIn("dc-1", problem)

    def test_last_one(self):
        """Each service that nobody would serve is named."""
        targets = [
            target("maps-1"),
            target("logs-1", service="logs"),
            target("maps-2", place="dc-2"),
            target("logs-2", service="logs", place="dc-3"),
        ]
        problems = find_obstacles("dc-1", targets, evacuated=("dc-3",))
        self.assertEqual(len(problems), 1)
        self.assertIn("'logs'", problems[0])


class StatusTests(unittest.IsolatedAsyncioTestCase):
    """What ``status`` tells of an evacuation."""

    async def test_open_flows(self):
        """Flows that are still open there are counted once."""
        platform = FakeStore()
        await place_order(platform, order("ana"), draw=random.Random(1))
        status = StatusReply(
            name="b1",
            role="balancer",
            data_centre="dc-1",
            state="running",
            version=1,
            uptime=1.0,
            targets=(target("maps-1", flows=7), target("maps-2", place="dc-2")),
        )
        (line,) = evacuation_lines(await read_orders(platform), [status, status])
        self.assertIn("by ana", line)
        self.assertIn("7 flows still open", line)


class Session:
    """An operator's session with two balancers that obey the store at once."""

    def __init__(self, *targets: TargetStatus) -> None:
        self.platform = FakeStore()
        self.draw = random.Random(1)
        self.targets = targets
        self.lagging: frozenset[str] = frozenset()

    async def balancers(self) -> dict[str, None]:
        """Return the names that `statuses` is asked for."""
        return {"b1": None, "b2": None}

    async def statuses(self, balancers) -> dict[str, StatusReply]:
        """Return how the balancers stand."""
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
    """What ``evacuate`` and ``readmit`` do and say."""

    async def asyncSetUp(self) -> None:
        self.session = Session(target("maps-1"), target("maps-2", place="dc-2"))
        self.out, self.err = io.StringIO(), io.StringIO()
        self.enterContext(contextlib.redirect_stdout(self.out))
        self.enterContext(contextlib.redirect_stderr(self.err))

    async def evacuate(self, place: str, **options) -> int:
        fields = {"who": "ana", "force": False, "wait_seconds": 0.2} | options
        return await evacuate(self.session, place, **fields)

    async def test_there_and_back(self):
        """Both orders are in force on all balancers before the commands end."""
        self.assertEqual(await self.evacuate("dc-1"), Exit.OK)
        self.assertEqual(
            await readmit(self.session, "dc-1", who="ana", wait_seconds=0.2), Exit.OK
        )
        self.assertEqual(self.out.getvalue().count("in force on 2 balancers"), 2)
        self.assertEqual(await read_orders(self.session.platform), {})

    async def test_refused(self):
        """Unknown places, last ones and places evacuated already change nothing."""
        self.assertEqual(await self.evacuate("dc-9"), Exit.BAD_INPUT)
        await self.evacuate("dc-1")
        self.assertEqual(await self.evacuate("dc-1"), Exit.CONFLICT)
        self.assertEqual(await self.evacuate("dc-2"), Exit.BAD_INPUT)
        self.assertIn("last data centre that serves 'maps'", self.err.getvalue())
        self.assertEqual(set(await read_orders(self.session.platform)), {"dc-1"})

    async def test_forced(self):
        """The last one is evacuated on demand."""
        await self.evacuate("dc-1")
        self.assertEqual(await self.evacuate("dc-2", force=True), Exit.OK)

    async def test_not_evacuated(self):
        """Who readmits what isn't evacuated is told what is."""
        await self.evacuate("dc-1")
        status = await readmit(self.session, "dc-2", who="ana", wait_seconds=0.0)
        self.assertEqual(status, Exit.BAD_INPUT)
        self.assertIn("evacuated: dc-1", self.err.getvalue())

    async def test_lagging(self):
        """A balancer that doesn't obey in time is named."""
        self.session.lagging = frozenset({"b2"})
        self.assertEqual(await self.evacuate("dc-1"), Exit.LAGGING)
        self.assertIn("b2", self.err.getvalue())

    async def test_platform_away(self):
        """Without the platform nothing is ordered."""
        self.session.platform.is_down = True
        self.assertEqual(await self.evacuate("dc-1"), Exit.UNAVAILABLE)
