"""What ``status`` tells of callers in two data centres that aren't served alike."""

import contextlib
import io
import json
import unittest

from monsoonpier.exits import Exit
from monsoonpier.model.target import LoadReport
from monsoonpier.model.waiting_summary import LatelySeen, WaitingSummary
from monsoonpier.operator.caller_waits import LONGER, MORE, caller_waits, waiting_lines
from monsoonpier.operator.commands import show_status
from monsoonpier.operator.slot_use import added_slots, slot_lines
from monsoonpier.wire.control import StatusReply, TargetStatus
from standins.fake_store import FakeStore
from tests.rig import record


def waiting(*, served: float, wait: float, refused: float = 0.0, **fields):
    """Return how callers fare that wait ``wait`` seconds in the mean."""
    defaults = {"service": "maps", "priority": 1, "aim_seconds": 0.4, "asked": 900}
    lately = LatelySeen(served=served, refused=refused, wait_seconds=served * wait)
    return WaitingSummary(**defaults | fields, lately=lately)


def status(name: str, place: str, *summaries: WaitingSummary) -> StatusReply:
    return StatusReply(
        name=name,
        role="balancer",
        data_centre=place,
        state="running",
        version=3,
        uptime=1.0,
        waiting=summaries,
    )


class UnfairnessTests(unittest.TestCase):
    """Two balancers in the first data centre, one in the second."""

    def marks(self, first: WaitingSummary, second: WaitingSummary) -> list[tuple]:
        found = caller_waits(
            [status("b1", "dc-1", first), None, status("b2", "dc-2", second)]
        )
        return [each.marks for each in found]

    def test_added_up(self) -> None:
        """Balancers of one place are added, and the oldest of all is shown."""
        near = waiting(served=60, wait=0.1, in_time=3, oldest_seconds=0.2)
        far = waiting(served=40, wait=0.2, late=2, oldest_seconds=1.1)
        refusing = waiting(
            served=90, wait=0.1, refused=10, refused_by_reason={"would be late": 7}
        )
        replies = [status("b1", "dc-1", near), status("b2", "dc-1", far)]
        first, second = caller_waits([*replies, status("b3", "dc-2", refusing)])
        self.assertEqual((first.in_time, first.late, first.asked), (3, 2, 1800))
        self.assertAlmostEqual(first.oldest_seconds, 1.1)
        self.assertAlmostEqual(second.refused_share, 0.1)
        shown = "\n".join(waiting_lines((first, second)))
        self.assertIn("callers of maps (priority 1) in dc-1: 3 wait in time", shown)
        self.assertIn("refused: would be late 7", shown)

    def test_longer(self) -> None:
        """A quarter of the aim more than elsewhere is marked, a tenth isn't."""
        calm = waiting(served=100, wait=0.05)
        marks = self.marks(waiting(served=100, wait=0.2), calm)
        self.assertEqual(marks, [(LONGER,), ()])
        self.assertEqual(self.marks(waiting(served=100, wait=0.09), calm), [(), ()])

    def test_not_served_at_all(self) -> None:
        """Who still waits counts too: the worst off are the ones not served yet."""
        stuck = waiting(served=0, wait=0.0, late=80, waited_seconds=60.0)
        calm = waiting(served=100, wait=0.05)
        self.assertEqual(self.marks(stuck, calm), [(LONGER,), ()])

    def test_refused_more(self) -> None:
        """Refusals that chance would explain aren't marked."""
        few = waiting(served=97, wait=0.1, refused=3)
        many = waiting(served=80, wait=0.1, refused=20)
        self.assertEqual(self.marks(many, few), [(MORE,), ()])
        some = waiting(served=90, wait=0.1, refused=9)
        self.assertEqual(self.marks(some, few), [(), ()])

    def test_too_few(self) -> None:
        """A handful of callers proves nothing."""
        slow = waiting(served=5, wait=2.0)
        self.assertEqual(self.marks(slow, waiting(served=100, wait=0.1)), [(), ()])

    def test_alone(self) -> None:
        """With one data centre there is no elsewhere."""
        found = caller_waits([status("b1", "dc-1", waiting(served=99, wait=2.0))])
        self.assertEqual(found[0].marks, ())


class SlotTests(unittest.TestCase):
    """What two answers of an agent, two seconds apart, tell of its slots."""

    def test_shares(self) -> None:
        """What came between counts; an agent that began anew between is left out."""
        targets = {
            name: TargetStatus(
                record=record(name), load=LoadReport(number=1), suspected=False
            )
            for name in ("maps-1", "maps-2")
        }
        early = {
            "slots": 2,
            "running": 2,
            "queued": 1,
            "queued_late": 1,
            "reserved": 9,
            "busy_seconds": 100.0,
            "kept_seconds": 9.0,
            "idle_seconds": 50.0,
            "idle_while_queued_seconds": 1.0,
            "kept_in_vain_seconds": 3.0,
            "runs": 1000,
            "silent": 7,
        }
        gains = {"busy_seconds": 3.0, "idle_seconds": 1.0, "runs": 60}
        gains["idle_while_queued_seconds"] = 0.4
        late = {name: value + gains.get(name, 0) for name, value in early.items()}
        late["reserved"] = 0
        anew = dict.fromkeys(early, 0.0)
        (found,) = added_slots(
            targets,
            before={"maps-1": early, "maps-2": early},
            after={"maps-1": late, "maps-2": anew},
        )
        self.assertEqual((found.agents, found.slots, found.queued), (1, 2, 2))
        self.assertAlmostEqual(found.busy_share, 0.75)
        self.assertAlmostEqual(found.idle_while_queued_share, 0.1)
        self.assertEqual((found.runs, found.silent), (60, 0))
        self.assertIn("while a flow waited 10%", slot_lines([found])[0])


class Session:
    """An operator's session whose balancers stand in two data centres."""

    def __init__(self, *statuses: StatusReply) -> None:
        self.platform = FakeStore()
        self._statuses = {reply.name: reply for reply in statuses}

    async def balancers(self) -> dict[str, None]:
        """Return the names that `statuses` is asked for."""
        return dict.fromkeys(self._statuses)

    async def statuses(self, balancers) -> dict[str, StatusReply]:
        """Return how the balancers stand."""
        return self._statuses


class StatusTests(unittest.IsolatedAsyncioTestCase):
    """The command itself."""

    async def shown(self, *, as_json: bool) -> str:
        out = io.StringIO()
        session = Session(
            status("b1", "dc-1", waiting(served=70, wait=1.2, late=30)),
            status("b2", "dc-2", waiting(served=150, wait=0.1)),
        )
        with contextlib.redirect_stdout(out):
            self.assertEqual(await show_status(session, as_json=as_json), Exit.OK)
        return out.getvalue()

    async def test_one_waits_far_longer(self) -> None:
        """The data centre whose callers wait longer is marked, and no other."""
        lines = (await self.shown(as_json=False)).splitlines()
        marked = [line for line in lines if LONGER.upper() in line]
        self.assertEqual(len(marked), 1)
        self.assertIn("in dc-1", marked[0])

    async def test_as_json(self) -> None:
        """Programs get the same, with the marks."""
        content = json.loads(await self.shown(as_json=True))
        marks = {each["data_centre"]: each["marks"] for each in content["callers"]}
        self.assertEqual(marks, {"dc-1": [LONGER], "dc-2": []})
