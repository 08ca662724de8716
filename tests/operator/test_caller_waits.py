"""Callers' waits and the use of slots in ``status``, by data centre."""

import contextlib
import io
import json
import unittest

from monsoonpier.exits import ExitStatus
from monsoonpier.model.target import LoadReport
from monsoonpier.model.waiting_summary import LatelySeen, WaitingSummary
from monsoonpier.operator.caller_waits import (
    REFUSED_MORE,
    WAITS_LONGER,
    caller_lines,
    summarise_callers,
)
from monsoonpier.operator.commands import show_status
from monsoonpier.operator.slot_use import slot_lines, sum_slot_use
from monsoonpier.wire.control import StatusReply, TargetStatus
from standins.fake_store import FakeStore
from tests.rig import record


def waiting(*, served: float, wait: float, refused: float = 0.0, **fields):
    """Return a summary of callers whose mean wait is ``wait`` seconds."""
    defaults = {"service": "maps", "priority": 1, "aim_seconds": 0.4, "asked": 900}
    lately = LatelySeen(served=served, refused=refused, wait_seconds=served * wait)
    return WaitingSummary(**defaults | fields, lately=lately)


def status(name: str, data_centre: str, *summaries: WaitingSummary) -> StatusReply:
    return StatusReply(
        name=name,
        role="balancer",
        data_centre=data_centre,
        state="running",
        version=3,
        uptime=1.0,
        waiting=summaries,
    )


class UnfairnessTests(unittest.TestCase):
    """Sums by data centre, and marks where callers are served worse."""

    def marks(self, first: WaitingSummary, second: WaitingSummary) -> list[tuple]:
        found = summarise_callers(
            [status("b1", "dc-1", first), None, status("b2", "dc-2", second)]
        )
        return [each.marks for each in found]

    def test_sums_by_data_centre(self) -> None:
        """Counts are summed by data centre; the oldest wait is shown."""
        near = waiting(served=60, wait=0.1, in_time=3, oldest_seconds=0.2)
        far = waiting(served=40, wait=0.2, late=2, oldest_seconds=1.1)
        refusing = waiting(
            served=90, wait=0.1, refused=10, refused_by_reason={"would be late": 7}
        )
        replies = [status("b1", "dc-1", near), status("b2", "dc-1", far)]
        first, second = summarise_callers([*replies, status("b3", "dc-2", refusing)])
        self.assertEqual((first.in_time, first.late, first.asked), (3, 2, 1800))
        self.assertAlmostEqual(first.oldest_seconds, 1.1)
        self.assertAlmostEqual(second.refused_share, 0.1)
        shown = "\n".join(caller_lines((first, second)))
        self.assertIn("callers of maps (priority 1) in dc-1: 3 wait in time", shown)
        self.assertIn("refused: would be late 7", shown)

    def test_longer(self) -> None:
        """A mean wait is marked only if it is much longer than elsewhere."""
        calm = waiting(served=100, wait=0.05)
        marks = self.marks(waiting(served=100, wait=0.2), calm)
        self.assertEqual(marks, [(WAITS_LONGER,), ()])
        self.assertEqual(self.marks(waiting(served=100, wait=0.09), calm), [(), ()])

    def test_not_served_at_all(self) -> None:
        """Flows that still wait count in the mean wait."""
        stuck = waiting(served=0, wait=0.0, late=80, waited_seconds=60.0)
        calm = waiting(served=100, wait=0.05)
        self.assertEqual(self.marks(stuck, calm), [(WAITS_LONGER,), ()])

    def test_refused_more(self) -> None:
        """A difference in rejections that chance may explain isn't marked."""
        few = waiting(served=97, wait=0.1, refused=3)
        many = waiting(served=80, wait=0.1, refused=20)
        self.assertEqual(self.marks(many, few), [(REFUSED_MORE,), ()])
        some = waiting(served=90, wait=0.1, refused=9)
        self.assertEqual(self.marks(some, few), [(), ()])

    def test_too_few(self) -> None:
        """Nothing is marked if there are too few callers to compare."""
        slow = waiting(served=5, wait=2.0)
        self.assertEqual(self.marks(slow, waiting(served=100, wait=0.1)), [(), ()])

    def test_alone(self) -> None:
        """Nothing is marked if there is only one data centre."""
        found = summarise_callers([status("b1", "dc-1", waiting(served=99, wait=2.0))])
        self.assertEqual(found[0].marks, ())


class SlotTests(unittest.TestCase):
    """Use of slots between two samples."""

    def test_shares(self) -> None:
        """Shares cover the time between samples, without restarted agents."""
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
        increases = {"busy_seconds": 3.0, "idle_seconds": 1.0, "runs": 60}
        increases["idle_while_queued_seconds"] = 0.4
        late = {name: value + increases.get(name, 0) for name, value in early.items()}
        late["reserved"] = 0
        restarted = dict.fromkeys(early, 0.0)
        (found,) = sum_slot_use(
            targets,
            before={"maps-1": early, "maps-2": early},
            after={"maps-1": late, "maps-2": restarted},
        )
        self.assertEqual((found.agents, found.slots, found.queued), (1, 2, 2))
        self.assertAlmostEqual(found.busy_share, 0.75)
        self.assertAlmostEqual(found.idle_while_queued_share, 0.1)
        self.assertEqual((found.runs, found.silent), (60, 0))
        self.assertIn("while a flow waited 10%", slot_lines([found])[0])


class Session:
    """An operator's session with fixed balancer statuses."""

    def __init__(self, *statuses: StatusReply) -> None:
        self.platform = FakeStore()
        self._statuses = {reply.name: reply for reply in statuses}

    async def balancers(self) -> dict[str, None]:
        """Return the balancers' names."""
        return dict.fromkeys(self._statuses)

    async def statuses(self, balancers) -> dict[str, StatusReply]:
        """Return the fixed statuses."""
        return self._statuses


class StatusTests(unittest.IsolatedAsyncioTestCase):
    """Output of the ``status`` command."""

    async def shown(self, *, as_json: bool) -> str:
        out = io.StringIO()
        session = Session(
            status("b1", "dc-1", waiting(served=70, wait=1.2, late=30)),
            status("b2", "dc-2", waiting(served=150, wait=0.1)),
        )
        with contextlib.redirect_stdout(out):
            self.assertEqual(await show_status(session, as_json=as_json), ExitStatus.OK)
        return out.getvalue()

    async def test_one_waits_far_longer(self) -> None:
        """Only the data centre whose callers wait longer is marked."""
        lines = (await self.shown(as_json=False)).splitlines()
        marked = [line for line in lines if WAITS_LONGER.upper() in line]
        self.assertEqual(len(marked), 1)
        self.assertIn("in dc-1", marked[0])

    async def test_as_json(self) -> None:
        """The JSON output contains the marks."""
        content = json.loads(await self.shown(as_json=True))
        marks = {each["data_centre"]: each["marks"] for each in content["callers"]}
        self.assertEqual(marks, {"dc-1": [WAITS_LONGER], "dc-2": []})
