"""Cases that must be there, each by name, on the pure decisions."""

import unittest
from hashlib import blake2b

from monsoonpier.agent.tokens.actions import (
    Answered,
    Broke,
    NeverSent,
    Reply,
    RequestKey,
    Run,
    Shed,
    TimedOut,
)
from monsoonpier.agent.tokens.condition import TargetLife
from monsoonpier.agent.tokens.requests import MAX_KEPT_BYTES, WINDOW
from monsoonpier.model.target import Condition
from monsoonpier.model.token import HolderToken, open_token, seal_token
from monsoonpier.wire.datagrams import (
    MIN_OPEN_BYTES,
    AnswerPart,
    Cancel,
    Close,
    Fetch,
    FlowGone,
    Move,
    Open,
    Opened,
    Ping,
    Progress,
    RequestPart,
    StreamAck,
    StreamOpen,
    Verdict,
    VerdictKind,
    caller_codec,
)
from monsoonpier.wire.frames import Forward
from tests.rig import KEYS, Rig, holder, record

FLOW = b"f" * 16
VIA = ("10.2.0.1", 9000)


class Desk:
    """One agent with one open flow, fed datagram by datagram."""

    def __init__(self, **limits) -> None:
        self.rig = Rig(agents=1)
        self.record = record("maps-1")
        self.holder = holder(self.record, **limits)
        self.now = 10.0
        opened = self.send(Open(flow=FLOW, padding=bytes(MIN_OPEN_BYTES)))
        self.token = opened[0].message.token

    def send(self, message, *, service: str = "maps", via=VIA) -> list:
        """Give a caller's message to the agent."""
        frame = Forward(
            service=service,
            ip="10.9.9.9",
            port=5000,
            payload=caller_codec.encode(message),
        )
        return self.holder.forwarded(frame, via=via, now=self.now, draw=self.rig.draw)

    def request(self, number: int, *, acked: int = 1, body: bytes = b"w", **more):
        """Send a request of one part."""
        fields = {
            "flow": FLOW,
            "token": self.token,
            "request": number,
            "acked": acked,
            "kind": "top-up",
            "time_left_ms": 1000,
            "part": 0,
            "parts": 1,
            "digest": blake2b(body, digest_size=16).digest(),
            "body": body,
        }
        return self.send(RequestPart(**fields | more))

    def end(self, number: int, result) -> list:
        """End a run."""
        return self.holder.run_ended(
            RequestKey(FLOW, number), result, now=self.now, draw=self.rig.draw
        )

    def tick(self, seconds: float) -> list:
        """Let time pass."""
        self.now += seconds
        return self.holder.tick(now=self.now, draw=self.rig.draw)


def runs(actions: list) -> int:
    """Count hand-overs to the target."""
    return sum(isinstance(action, Run) for action in actions)


def verdicts(actions: list) -> list:
    """Return the verdicts among replies."""
    messages = [a.message for a in actions if isinstance(a, Reply)]
    return [m.kind for m in messages if isinstance(m, Verdict)]


class AtMostOnceTests(unittest.TestCase):
    """Requests run at most once, and "not run" is true."""

    def test_duplicate_after_not_run(self):
        """A duplicate that comes after "not run" meets the tombstone."""
        desk = Desk()
        desk.request(1)
        self.assertEqual(verdicts(desk.end(1, Shed(retry_after=0.1))), [1])
        desk.tick(1.0)
        again = desk.request(1)
        self.assertEqual(runs(again), 0)
        self.assertEqual(verdicts(again), [VerdictKind.NOT_RUN])

    def test_duplicate_after_refusal_while_leaving(self):
        """A request refused while leaving isn't run when the agent stays."""
        desk = Desk()
        desk.holder.leave(now=desk.now)
        self.assertEqual(verdicts(desk.request(1)), [VerdictKind.NOT_RUN])
        desk.holder.stay(now=desk.now)
        desk.holder.life = desk.holder.life.healthy(now=desk.now)
        self.assertEqual(runs(desk.request(1)), 0)

    def test_replaced_instance(self):
        """A new instance at the same address runs nothing of its predecessor's."""
        desk = Desk()
        desk.request(1)
        desk.holder = holder(record("maps-1", epoch=2))
        answer = desk.request(1)
        self.assertEqual(runs(answer), 0)
        self.assertIsInstance(answer[0].message, FlowGone)

    def test_same_flow_reopened_at_new_instance(self):
        """A token of the old instance isn't served though its flow is open."""
        desk = Desk()
        old = desk.token
        desk.holder = holder(record("maps-1", epoch=2))
        desk.send(Open(flow=FLOW, padding=bytes(MIN_OPEN_BYTES)))
        desk.token = old
        answer = desk.request(1)
        self.assertEqual(runs(answer), 0)
        self.assertIsInstance(answer[0].message, FlowGone)

    def test_old_open_and_request_after_close(self):
        """An OPEN and a request that come again after CLOSE run nothing."""
        desk = Desk()
        desk.request(1)
        desk.end(1, Answered(status=200, body=b"a", seconds=0.1))
        desk.send(Close(flow=FLOW, token=desk.token))
        desk.send(Open(flow=FLOW, padding=bytes(MIN_OPEN_BYTES)))
        answer = desk.request(1)
        self.assertEqual(runs(answer), 0)
        self.assertIsInstance(answer[0].message, FlowGone)

    def test_deadline_between_hand_over_and_answer(self):
        """A deadline that passes after hand-over is late, and stays late."""
        desk = Desk()
        desk.request(1, time_left_ms=200)
        self.assertEqual(verdicts(desk.tick(0.3)), [VerdictKind.LATE])
        after = desk.end(1, Answered(status=200, body=b"late", seconds=0.4))
        self.assertEqual([a for a in after if isinstance(a, Reply)], [])
        self.assertEqual(verdicts(desk.request(1)), [VerdictKind.LATE])

    def test_deadline_in_queue(self):
        """A deadline that passes in the queue is "not run", and at once."""
        desk = Desk()
        for number in (1, 2, 3):
            desk.request(number, time_left_ms=5000)
        desk.request(4, time_left_ms=150)
        self.assertEqual(verdicts(desk.tick(0.2)), [VerdictKind.NOT_RUN])
        self.assertEqual(desk.holder.requests.queued, 0)
        after = desk.end(1, Answered(status=200, body=b"", seconds=0.2))
        self.assertEqual(runs(after), 0)

    def test_below_mark(self):
        """An id below the caller's mark is answered "already done"."""
        desk = Desk()
        desk.request(1)
        desk.end(1, Answered(status=200, body=b"a", seconds=0.1))
        desk.send(Ping(flow=FLOW, token=desk.token, acked=2))
        again = desk.request(1)
        self.assertEqual(runs(again), 0)
        self.assertEqual(verdicts(again), [VerdictKind.ALREADY_DONE])

    def test_beyond_window(self):
        """An id beyond the window is dropped: no tombstone could be kept."""
        self.assertEqual(Desk().request(1 + WINDOW), [])

    def test_cancel_before_request(self):
        """A request whose cancellation overtook it isn't run."""
        desk = Desk()
        desk.send(Cancel(flow=FLOW, token=desk.token, request=1, acked=1))
        self.assertEqual(runs(desk.request(1)), 0)

    def test_lost_answer_is_kept(self):
        """A duplicate after the end gets the one outcome, not another run."""
        desk = Desk()
        desk.request(1)
        desk.end(1, Answered(status=200, body=b"a", seconds=0.1))
        again = desk.request(1)
        self.assertEqual(runs(again), 0)
        self.assertIsInstance(again[0].message, AnswerPart)

    def test_results_of_target(self):
        """Each way a run can end has its own true verdict."""
        table = (
            (Shed(retry_after=0.1), VerdictKind.NOT_RUN),
            (NeverSent(reason="refused"), VerdictKind.NOT_RUN),
            (Broke(reason="reset"), VerdictKind.UNKNOWN),
            (TimedOut(), VerdictKind.LATE),
        )
        for result, verdict in table:
            with self.subTest(result=result):
                desk = Desk()
                desk.request(1)
                self.assertEqual(verdicts(desk.end(1, result)), [verdict])

    def test_wrong_digest(self):
        """A body that doesn't match its digest isn't run."""
        desk = Desk()
        answer = desk.request(1, digest=b"0" * 16)
        self.assertEqual(runs(answer), 0)
        self.assertEqual(verdicts(answer), [VerdictKind.NOT_RUN])

    def test_unknown_request_is_asked_for(self):
        """Asking for a request that never came says that no part is there."""
        desk = Desk()
        fetch = Fetch(flow=FLOW, token=desk.token, request=1, acked=1)
        message = desk.send(fetch)[0].message
        self.assertIsInstance(message, Progress)
        self.assertEqual(message.have_below, 0)

    def test_slots_are_the_limit(self):
        """Never more requests at the target than it has slots."""
        desk = Desk()
        handed = sum(runs(desk.request(n, time_left_ms=9000)) for n in range(1, 9))
        self.assertEqual(handed, 3)
        after = desk.end(1, Answered(status=200, body=b"", seconds=0.1))
        self.assertEqual(runs(after), 1)

    def test_refusal_at_once_and_growing(self):
        """A full queue refuses at once, with a wait that grows."""
        desk = Desk(queue_per_slot=1)
        waits = []
        for number in range(1, 60):
            for action in desk.request(number, time_left_ms=9000):
                if isinstance(action, Reply) and isinstance(action.message, Verdict):
                    waits.append(action.message.retry_after_ms)
        self.assertEqual(len(waits), 59 - 6)
        self.assertGreater(sum(waits[-10:]), 2 * sum(waits[:10]))

    def test_full_memory_refuses_new_work(self):
        """Kept outcomes are never dropped to make room for new work."""
        desk = Desk()
        desk.request(1)
        desk.end(1, Answered(status=200, body=b"k", seconds=0.1))
        desk.holder.requests._kept_bytes = MAX_KEPT_BYTES
        self.assertEqual(verdicts(desk.request(2)), [VerdictKind.NOT_RUN])
        self.assertIsInstance(desk.request(1)[0].message, AnswerPart)

    def test_upload_gap_is_reported_once(self):
        """Parts beyond a gap don't set off a report each."""
        desk = Desk()
        replies = []
        for part in range(1, 40):
            replies += desk.request(1, part=part, parts=50, digest=b"d" * 16)
        self.assertLessEqual(len(replies), 6)


class SteeringGuardTests(unittest.TestCase):
    """A packet reaches only the service and the flow that it is for."""

    def test_token_of_another_flow(self):
        """A token moved to another flow is dropped."""
        desk = Desk()
        desk.request(1, flow=b"g" * 16)
        self.assertEqual(desk.holder.dropped_by_reason["forged_token"], 1)

    def test_token_of_another_service(self):
        """A flow's packet that came by another service's address is dropped."""
        desk = Desk()
        ping = Ping(flow=FLOW, token=desk.token, acked=1)
        self.assertEqual(desk.send(ping, service="logs"), [])
        self.assertEqual(desk.holder.dropped_by_reason["foreign_service"], 1)

    def test_token_names_other_service(self):
        """A valid token of another service at a stale address isn't served."""
        desk = Desk()
        other = HolderToken(
            service="logs",
            ip="10.1.0.1",
            port=9000,
            instance=desk.record.instance,
            opening=1,
        )
        desk.token = seal_token(other, flow=FLOW, keys=KEYS)
        answer = desk.request(1)
        self.assertEqual(runs(answer), 0)
        self.assertIsInstance(answer[0].message, FlowGone)

    def test_opened_is_smaller_than_open(self):
        """The reply to OPEN is no larger than the OPEN."""
        desk = Desk()
        message = Open(flow=FLOW, padding=bytes(MIN_OPEN_BYTES - 40))
        replies = desk.send(message)
        self.assertIsInstance(replies[0].message, Opened)
        size = len(caller_codec.encode(replies[0].message))
        self.assertLessEqual(size, MIN_OPEN_BYTES)

    def test_token_is_bound(self):
        """A token opens for its own flow only."""
        token = HolderToken(service="maps", ip="10.1.0.1", port=1, instance=b"i" * 8)
        sealed = seal_token(token, flow=FLOW, keys=KEYS)
        self.assertEqual(open_token(sealed, flow=FLOW, keys=KEYS), token)
        self.assertIsNone(open_token(sealed, flow=b"g" * 16, keys=KEYS))


class LeavingTests(unittest.TestCase):
    """A leaving target takes no new work and cuts none."""

    def test_no_new_work(self):
        """New flows are sent back and new requests refused, both at once."""
        desk = Desk()
        desk.holder.leave(now=desk.now)
        opened = desk.send(Open(flow=b"n" * 16, padding=bytes(MIN_OPEN_BYTES)))
        self.assertNotIsInstance(opened[0], Reply)
        self.assertEqual(verdicts(desk.request(1)), [VerdictKind.NOT_RUN])

    def test_in_flight_finishes(self):
        """It isn't finished while a request runs, however long."""
        desk = Desk()
        desk.request(1, time_left_ms=60_000)
        desk.holder.leave(now=desk.now)
        desk.tick(30.0)
        self.assertFalse(desk.holder.is_finished(now=desk.now))
        ended = desk.end(1, Answered(status=200, body=b"a", seconds=30.0))
        self.assertIsInstance(ended[0].message, AnswerPart)
        self.assertTrue(desk.holder.is_finished(now=desk.now + 6))

    def test_upload_under_way_finishes(self):
        """An upload whose parts are still coming is taken to its end."""
        desk = Desk()
        body = b"x" * 1500
        digest = blake2b(body, digest_size=16).digest()
        common = {"parts": 2, "digest": digest, "time_left_ms": 20_000}
        desk.request(1, part=0, body=body[:1100], **common)
        desk.holder.leave(now=desk.now)
        desk.tick(0.1)
        self.assertFalse(desk.holder.is_finished(now=desk.now))
        last = desk.request(1, part=1, body=body[1100:], **common)
        self.assertEqual(runs(last), 1)

    def test_callers_that_are_gone(self):
        """Flows whose callers are silent don't hold a leaving agent up."""
        desk = Desk()
        desk.send(
            StreamOpen(
                flow=FLOW, token=desk.token, request=1, acked=1, kind="map", after=0
            )
        )
        desk.holder.leave(now=desk.now)
        for _ in range(120):
            desk.tick(0.05)
        self.assertTrue(desk.holder.is_finished(now=desk.now))

    def test_two_timers_do_not_keep_a_flow(self):
        """A flow's two timers don't put its expiry off in turns for ever."""
        desk = Desk()
        desk.tick(4.5)
        desk.holder.leave(now=desk.now)
        desk.tick(0.7)
        desk.send(Ping(flow=FLOW, token=desk.token, acked=1))
        for _ in range(200):
            desk.tick(0.05)
        self.assertEqual(desk.holder.flows, 0)

    def test_move_is_repeated(self):
        """Callers are asked to move again and again, by other balancers too."""
        desk = Desk()
        desk.send(Ping(flow=FLOW, token=desk.token, acked=1), via=("10.2.0.2", 9000))
        asked = desk.holder.leave(now=desk.now)
        for _ in range(20):
            asked += desk.tick(0.1)
        moves = [
            a for a in asked if isinstance(a, Reply) and isinstance(a.message, Move)
        ]
        self.assertGreaterEqual(len(moves), 3)
        self.assertEqual(len({a.via for a in moves}), 2)


class StreamTests(unittest.TestCase):
    """Streams lose nothing and stay bounded."""

    def _stream(self) -> Desk:
        desk = Desk()
        desk.send(
            StreamOpen(
                flow=FLOW, token=desk.token, request=1, acked=1, kind="map", after=0
            )
        )
        return desk

    def test_resent_by_another_balancer(self):
        """An item that isn't acknowledged is sent again by another balancer."""
        desk = self._stream()
        desk.send(Ping(flow=FLOW, token=desk.token, acked=1), via=("10.2.0.2", 9000))
        key = RequestKey(FLOW, 1)
        first = desk.holder.stream_item(key, 1, b"item", now=desk.now)
        again = desk.tick(0.3)
        self.assertEqual(first[0].message, again[0].message)
        self.assertNotEqual(first[0].via, again[0].via)

    def test_acknowledged_is_forgotten(self):
        """What is acknowledged isn't sent again, and more may be read."""
        desk = self._stream()
        desk.holder.stream_item(RequestKey(FLOW, 1), 1, b"item", now=desk.now)
        credit = desk.send(StreamAck(flow=FLOW, token=desk.token, request=1, up_to=1))
        self.assertEqual(credit[0].items, 1)
        self.assertEqual(desk.tick(2.0), [])

    def test_timers_do_not_multiply(self):
        """A stream that is never acknowledged keeps one timer."""
        desk = self._stream()
        for number in range(1, 30):
            desk.holder.stream_item(RequestKey(FLOW, 1), number, b"i", now=desk.now)
            desk.tick(0.05)
        self.assertLessEqual(len(desk.holder._timers), 3)


class TargetLifeTests(unittest.TestCase):
    """The agent judges by evidence; health is a hint."""

    def _silent(self) -> Desk:
        """Return an agent whose target has answered nothing three times."""
        desk = Desk()
        for number in (1, 2, 3):
            desk.request(number, time_left_ms=100)
        desk.tick(0.2)
        for number in (1, 2, 3):
            desk.end(number, TimedOut())
        return desk

    def test_healthy_but_mute(self):
        """A target that says healthy and answers nothing takes no new flows."""
        desk = self._silent()
        desk.holder.life = desk.holder.life.healthy(now=desk.now)
        self.assertEqual(desk.holder.life.state, "unresponsive")
        self.assertEqual(verdicts(desk.request(4)), [VerdictKind.NOT_RUN])
        desk.tick(2.1)
        self.assertEqual(runs(desk.request(5)), 1)
        self.assertEqual(runs(desk.request(6)), 0)
        desk.end(5, Answered(status=200, body=b"", seconds=0.1))
        self.assertTrue(desk.holder.life.takes_flows)

    def test_silent_target_is_tried_again_though_no_flow_is_left(self):
        """A silent target takes a flow again in time, or nothing could try it."""
        desk = self._silent()
        desk.send(Close(flow=FLOW, token=desk.token))
        open_again = Open(flow=b"n" * 16, padding=bytes(MIN_OPEN_BYTES))
        self.assertNotIsInstance(desk.send(open_again)[0], Reply)
        desk.tick(2.1)
        report = desk.holder.load(now=desk.now)
        self.assertEqual(report.condition, Condition.SERVING)
        self.assertLess(report.age_ms, 100)
        self.assertIsInstance(desk.send(open_again)[0], Reply)

    def test_trials_become_rare(self):
        """Each trial that fails doubles the time to the next."""
        life = TargetLife().healthy(now=0.0)
        for _ in range(3):
            life = life.ran_silent(now=0.0)
        waits, now = [], 0.0
        for _ in range(7):
            waits.append(life.until - now)
            now = life.until
            life = life.at(now=now).ran_silent(now=now)
        self.assertEqual(waits, [2.0, 4.0, 8.0, 16.0, 32.0, 60.0, 60.0])

    def test_short_deadlines_are_no_evidence(self):
        """Runs that had less time than usual don't make a target look ill."""
        desk = Desk()
        desk.request(1)
        desk.end(1, Answered(status=200, body=b"", seconds=0.2))
        for number in (2, 3, 4, 5):
            desk.request(number, time_left_ms=150)
            desk.tick(0.16)
            desk.end(number, TimedOut())
        self.assertEqual(desk.holder.life.state, "serving")

    def test_queue_leaves_time_to_run(self):
        """A request that would only begin before its deadline is refused."""
        desk = Desk()
        desk.request(1)
        desk.end(1, Answered(status=200, body=b"", seconds=0.3))
        for number in (2, 3, 4):
            desk.request(number, time_left_ms=5000)
        self.assertEqual(
            verdicts(desk.request(5, time_left_ms=350)), [VerdictKind.NOT_RUN]
        )
        self.assertEqual(verdicts(desk.request(6, time_left_ms=5000)), [])

    def test_shedding_ends(self):
        """A target that sheds is spared until its own time is over."""
        desk = Desk()
        desk.request(1)
        desk.end(1, Shed(retry_after=1.5))
        self.assertFalse(desk.holder.life.takes_flows)
        desk.tick(1.6)
        self.assertTrue(desk.holder.life.takes_flows)

    def test_cancelled_runs_are_no_evidence(self):
        """Callers that give up don't make a target look ill."""
        from monsoonpier.agent.tokens.actions import Aborted

        desk = Desk()
        for number in range(1, 6):
            desk.request(number)
            desk.end(number, Aborted())
        self.assertEqual(desk.holder.life.state, "serving")
