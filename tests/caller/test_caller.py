"""Tests of the callers' library: retries, flows, streams and transfers."""

import unittest

from monsoonpier.caller.retries import Final, Retry, RetryBudget, decide_retry
from monsoonpier.caller.session import FlowSession, GoAwayReceived, StreamEnded
from monsoonpier.caller.transfer import SILENT_RESENDS, Transfer
from monsoonpier.model.outcome import (
    Cancelled,
    Done,
    FlowLost,
    Late,
    NotRun,
    Refused,
    Unknown,
)
from monsoonpier.wire.datagrams import (
    AnswerPart,
    Close,
    FlowUnknown,
    GoAway,
    Item,
    Opened,
    Progress,
    RequestPart,
    StreamEnd,
    caller_codec,
    reply_codec,
)
from tests.rig import Rig

FLOW = b"f" * 16
TOKEN = b"t" * 40


def session() -> FlowSession:
    """Return an open flow."""
    flow = FlowSession(flow=FLOW, now=0.0)
    flow.poll(now=0.0)
    receive(flow, Opened(flow=FLOW, token=TOKEN))
    flow.outbox.clear()
    return flow


def receive(to: FlowSession, message, *, now: float = 0.1) -> list:
    """Pass a message to a flow; return its events."""
    return to.receive(reply_codec.encode(message), now=now)


def sent(of: FlowSession) -> list:
    """Return the messages in a flow's outbox and empty it."""
    outbox, of.outbox = of.outbox, []
    return [caller_codec.decode(data) for data in outbox]


class RetryTests(unittest.TestCase):
    """Which outcomes are retried, and which are final."""

    def _decide(
        self, outcome, *, idempotent: bool, left: float = 3.0, free_retries: int = 0
    ):
        return decide_retry(
            outcome,
            idempotent=idempotent,
            budget=RetryBudget(left=left),
            free_retries=free_retries,
            time_left=5.0,
        )

    def test_table(self):
        """Only requests that did not run, or are idempotent, are retried."""
        overloaded = NotRun(reason="overloaded", retry_after=0.5, reopen=True)
        leaving = NotRun(reason="leaving", retry_after=0.0, reopen=True)
        wrong = NotRun(reason="too large", retry_after=0.0)
        table = (
            (Done(status=200, body=b""), True, Final()),
            (overloaded, False, Retry(wait=0.5, uses_budget=True)),
            (leaving, False, Retry(wait=0.0, uses_budget=False)),
            (wrong, True, Final()),
            (Refused(reason="x", retry_after=9.0), True, Final()),
            (FlowLost(), False, Final()),
            (FlowLost(), True, Retry(wait=0.0, uses_budget=True)),
            (Unknown(reason="x"), False, Final()),
            (Unknown(reason="x"), True, Retry(wait=0.0, uses_budget=True)),
            (Late(), False, Final()),
            (Cancelled(), True, Final()),
        )
        for outcome, idempotent, expected in table:
            with self.subTest(outcome=outcome, idempotent=idempotent):
                decided = self._decide(outcome, idempotent=idempotent)
                self.assertEqual(decided, expected)

    def test_budget_runs_out(self):
        """Without budget only rejections by a leaving target are retried."""
        overloaded = NotRun(reason="overloaded", retry_after=0.5, reopen=True)
        leaving = NotRun(reason="leaving", retry_after=0.0, reopen=True)
        self.assertEqual(self._decide(overloaded, idempotent=True, left=0.9), Final())
        decided = self._decide(leaving, idempotent=False, left=0.0)
        self.assertEqual(decided, Retry(wait=0.0, uses_budget=False))
        decided = self._decide(leaving, idempotent=False, left=0.0, free_retries=3)
        self.assertEqual(decided, Final())

    def test_budget_is_a_share_of_successes(self):
        """Ten successes earn one retry, up to a cap."""
        budget = RetryBudget(left=0.0)
        for _ in range(10):
            budget = budget.after_success()
        self.assertAlmostEqual(budget.left, 1.0)
        for _ in range(1000):
            budget = budget.after_success()
        self.assertAlmostEqual(budget.left, 10.0)


class SessionTests(unittest.TestCase):
    """A flow's token, requests and streams at the caller."""

    def test_second_owner_is_closed(self):
        """If two agents open one flow, the flow is closed at the second."""
        flow = session()
        receive(flow, Opened(flow=FLOW, token=b"u" * 40))
        self.assertEqual(flow.token, TOKEN)
        self.assertEqual(sent(flow), [Close(flow=FLOW, token=b"u" * 40)])

    def test_foreign_datagrams(self):
        """Datagrams of other flows and of finished requests are dropped."""
        flow = session()
        receive(flow, Progress(flow=b"g" * 16, request=1, received_below=0))
        receive(flow, Progress(flow=FLOW, request=9, received_below=0))
        flow.receive(b"\x01\xff\xff", now=0.1)
        self.assertEqual(flow.dropped, 3)

    def test_late_part_of_a_cancelled_request(self):
        """An answer part that arrives after the request ended is ignored."""
        flow = session()
        number = flow.request("reading", b"x", deadline=1.0, now=0.1)
        flow.cancel(number, now=0.2)
        events = flow.poll(now=3.0)
        self.assertEqual([e.outcome for e in events], [Cancelled()])
        part = AnswerPart(
            flow=FLOW,
            request=number,
            status=200,
            part=0,
            parts=1,
            digest=b"d" * 16,
            body=b"x",
        )
        self.assertEqual(receive(flow, part), [])

    def test_lost_flow_ends_everything(self):
        """A lost flow ends its requests as lost and its streams as resumable."""
        flow = session()
        flow.request("reading", b"x", deadline=1.0, now=0.1)
        flow.open_stream("map", after=4, now=0.1)
        events = receive(flow, FlowUnknown(flow=FLOW))
        self.assertIsInstance(events[0].outcome, FlowLost)
        self.assertEqual(
            events[1], StreamEnded(request=2, reason="flow lost", reopen=True)
        )

    def test_reordered_items_are_delivered_in_order(self):
        """Reordered and duplicated items are delivered once and in order."""
        flow = session()
        number = flow.open_stream("map", after=0, now=0.1)
        delivered: list[int] = []
        for previous, item in ((1, 2), (0, 1), (0, 1), (3, 4), (1, 2), (2, 3)):
            message = Item(
                flow=FLOW, request=number, previous=previous, number=item, body=b"i"
            )
            for event in receive(flow, message):
                delivered += [n for n, _ in event.items]
        self.assertEqual(delivered, [1, 2, 3, 4])

    def test_end_waits_for_its_last_item(self):
        """A stream's end that arrives early waits for the items before it."""
        flow = session()
        number = flow.open_stream("map", after=0, now=0.1)
        end = StreamEnd(flow=FLOW, request=number, last=1, reason="ended")
        self.assertEqual(receive(flow, end), [])
        item = Item(flow=FLOW, request=number, previous=0, number=1, body=b"i")
        self.assertIsInstance(receive(flow, item)[-1], StreamEnded)

    def test_go_away_is_reported_once(self):
        """A repeated GOAWAY causes one event, and the flow takes no new work."""
        flow = session()
        self.assertEqual(receive(flow, GoAway(flow=FLOW)), [GoAwayReceived()])
        self.assertEqual(receive(flow, GoAway(flow=FLOW)), [])
        self.assertFalse(flow.takes_work)

    def test_go_away_right_after_opened(self):
        """A flow whose owner drains right after opening it takes no work."""
        rig = Rig(agents=1)
        flow = rig.open()
        rig.run(0.01)
        rig._do("maps-1", rig.holders["maps-1"].leave(now=rig.now))
        rig.run(0.01)
        self.assertTrue(flow.is_open)
        self.assertFalse(flow.takes_work)


class TransferTests(unittest.TestCase):
    """Resends, deadlines and digests of one request and its answer."""

    def _transfer(self, size: int) -> Transfer:
        return Transfer(
            flow=FLOW,
            token=TOKEN,
            request=1,
            kind="log",
            body=b"x" * size,
            deadline=60.0,
            now=0.0,
        )

    def test_reordered_parts_are_not_resent(self):
        """Reordered parts aren't resent at once; overdue ones are."""
        transfer = self._transfer(100_000)
        transfer.start(acked=1, now=0.0)
        resent = 0
        for missing in range(1, 20):
            gap = Progress(
                flow=FLOW, request=1, received_below=0, missing=tuple(range(missing))
            )
            parts = transfer.handle_progress(gap, acked=1, now=0.005)
            resent += sum(isinstance(part, RequestPart) for part in parts)
        self.assertEqual(resent, 0)
        gap = Progress(flow=FLOW, request=1, received_below=0, missing=(0, 1))
        self.assertEqual(len(transfer.handle_progress(gap, acked=1, now=0.1)), 2)

    def test_silent_owner(self):
        """Several unanswered resends end the request as lost."""
        transfer = self._transfer(10)
        transfer.start(acked=1, now=0.0)
        now = 0.0
        for _ in range(SILENT_RESENDS + 1):
            now = transfer.due + 0.001
            transfer.poll(acked=1, now=now)
        self.assertIsInstance(transfer.outcome, FlowLost)

    def test_wrong_digest_of_answer(self):
        """An answer that doesn't match its digest isn't returned."""
        transfer = self._transfer(10)
        part = AnswerPart(
            flow=FLOW,
            request=1,
            status=200,
            part=0,
            parts=1,
            digest=b"0" * 16,
            body=b"x",
        )
        transfer.handle_answer_part(part, acked=1, now=0.1)
        self.assertIsInstance(transfer.outcome, Unknown)

    def test_parts_of_another_answer(self):
        """Parts of different answers are never joined."""
        transfer = self._transfer(10)
        for number, digest in ((0, b"a" * 16), (1, b"b" * 16)):
            part = AnswerPart(
                flow=FLOW,
                request=1,
                status=200,
                part=number,
                parts=2,
                digest=digest,
                body=b"x",
            )
            transfer.handle_answer_part(part, acked=1, now=0.1)
        self.assertIsNone(transfer.outcome)
        self.assertEqual(transfer.mismatched_parts, 1)
