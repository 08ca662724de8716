"""Tests of single cases of the agent's logic without I/O."""

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
from monsoonpier.agent.tokens.condition import TargetLifecycle
from monsoonpier.agent.tokens.requests import MAX_KEPT_BYTES, WINDOW
from monsoonpier.model.target import Condition
from monsoonpier.model.token import FlowToken, open_token, seal_token
from monsoonpier.wire.datagrams import (
    MIN_OPEN_BYTES,
    AnswerPart,
    Cancel,
    Close,
    Fetch,
    FinalStatus,
    FinalStatusKind,
    FlowUnknown,
    GoAway,
    Open,
    Opened,
    Ping,
    Progress,
    RequestPart,
    StreamAck,
    StreamOpen,
    caller_codec,
)
from monsoonpier.wire.frames import ForwardDatagram
from tests.rig import KEYS, Rig, holder, record

FLOW = b"f" * 16
VIA = ("10.2.0.1", 9000)


class AgentHarness:
    """One agent with one open flow; passes it datagrams, results and time."""

    def __init__(self, **limits) -> None:
        self.rig = Rig(agents=1)
        self.record = record("maps-1")
        self.owner = holder(self.record, **limits)
        self.now = 10.0
        opened = self.send(Open(flow=FLOW, padding=bytes(MIN_OPEN_BYTES)))
        self.token = opened[0].message.token

    def send(self, message, *, service: str = "maps", via=VIA) -> list:
        """Pass a caller's message to the agent; return its actions."""
        frame = ForwardDatagram(
            service=service,
            ip="10.9.9.9",
            port=5000,
            payload=caller_codec.encode(message),
        )
        return self.owner.handle_datagram(
            frame, via=via, now=self.now, draw=self.rig.draw
        )

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
        """End a run with a result; return the agent's actions."""
        return self.owner.run_ended(
            RequestKey(FLOW, number), result, now=self.now, draw=self.rig.draw
        )

    def tick(self, seconds: float) -> list:
        """Let time pass; return the agent's actions."""
        self.now += seconds
        return self.owner.tick(now=self.now, draw=self.rig.draw)


def runs(actions: list) -> int:
    """Count the requests dispatched to the target."""
    return sum(isinstance(action, Run) for action in actions)


def statuses(actions: list) -> list:
    """Return the kinds of final status among the replies."""
    messages = [a.message for a in actions if isinstance(a, Reply)]
    return [m.kind for m in messages if isinstance(m, FinalStatus)]


class AtMostOnceTests(unittest.TestCase):
    """Requests run at most once, and "not run" requests never run."""

    def test_duplicate_after_not_run(self):
        """A duplicate after "not run" gets the stored status and doesn't run."""
        agent = AgentHarness()
        agent.request(1)
        self.assertEqual(statuses(agent.end(1, Shed(retry_after=0.1))), [1])
        agent.tick(1.0)
        again = agent.request(1)
        self.assertEqual(runs(again), 0)
        self.assertEqual(statuses(again), [FinalStatusKind.NOT_RUN])

    def test_duplicate_after_rejection_while_draining(self):
        """A request rejected while draining doesn't run after draining ends."""
        agent = AgentHarness()
        agent.owner.leave(now=agent.now)
        self.assertEqual(statuses(agent.request(1)), [FinalStatusKind.NOT_RUN])
        agent.owner.stay(now=agent.now)
        agent.owner.lifecycle = agent.owner.lifecycle.healthy(now=agent.now)
        self.assertEqual(runs(agent.request(1)), 0)

    def test_replaced_instance(self):
        """A new instance at the same address rejects flows of its predecessor."""
        agent = AgentHarness()
        agent.request(1)
        agent.owner = holder(record("maps-1", epoch=2))
        answer = agent.request(1)
        self.assertEqual(runs(answer), 0)
        self.assertIsInstance(answer[0].message, FlowUnknown)

    def test_same_flow_reopened_at_new_instance(self):
        """A token of the old instance is invalid though the flow id is open."""
        agent = AgentHarness()
        old = agent.token
        agent.owner = holder(record("maps-1", epoch=2))
        agent.send(Open(flow=FLOW, padding=bytes(MIN_OPEN_BYTES)))
        agent.token = old
        answer = agent.request(1)
        self.assertEqual(runs(answer), 0)
        self.assertIsInstance(answer[0].message, FlowUnknown)

    def test_old_open_and_request_after_close(self):
        """A duplicate OPEN and request after CLOSE run nothing."""
        agent = AgentHarness()
        agent.request(1)
        agent.end(1, Answered(status=200, body=b"a", seconds=0.1))
        agent.send(Close(flow=FLOW, token=agent.token))
        agent.send(Open(flow=FLOW, padding=bytes(MIN_OPEN_BYTES)))
        answer = agent.request(1)
        self.assertEqual(runs(answer), 0)
        self.assertIsInstance(answer[0].message, FlowUnknown)

    def test_deadline_while_running(self):
        """A request whose deadline passes while it runs is late, and stays late."""
        agent = AgentHarness()
        agent.request(1, time_left_ms=200)
        self.assertEqual(statuses(agent.tick(0.3)), [FinalStatusKind.LATE])
        after = agent.end(1, Answered(status=200, body=b"late", seconds=0.4))
        self.assertEqual([a for a in after if isinstance(a, Reply)], [])
        self.assertEqual(statuses(agent.request(1)), [FinalStatusKind.LATE])

    def test_deadline_in_queue(self):
        """A request whose deadline passes in the queue is "not run" at once."""
        agent = AgentHarness()
        for number in (1, 2, 3):
            agent.request(number, time_left_ms=5000)
        agent.request(4, time_left_ms=150)
        self.assertEqual(statuses(agent.tick(0.2)), [FinalStatusKind.NOT_RUN])
        self.assertEqual(agent.owner.requests.queued, 0)
        after = agent.end(1, Answered(status=200, body=b"", seconds=0.2))
        self.assertEqual(runs(after), 0)

    def test_below_watermark(self):
        """An id below the caller's watermark is answered "already done"."""
        agent = AgentHarness()
        agent.request(1)
        agent.end(1, Answered(status=200, body=b"a", seconds=0.1))
        agent.send(Ping(flow=FLOW, token=agent.token, acked=2))
        again = agent.request(1)
        self.assertEqual(runs(again), 0)
        self.assertEqual(statuses(again), [FinalStatusKind.ALREADY_DONE])

    def test_beyond_window(self):
        """An id beyond the window is dropped, as no outcome could be stored."""
        self.assertEqual(AgentHarness().request(1 + WINDOW), [])

    def test_cancel_before_request(self):
        """A request that arrives after its cancellation doesn't run."""
        agent = AgentHarness()
        agent.send(Cancel(flow=FLOW, token=agent.token, request=1, acked=1))
        self.assertEqual(runs(agent.request(1)), 0)

    def test_duplicate_after_lost_answer(self):
        """A duplicate after the end gets the stored answer and doesn't run."""
        agent = AgentHarness()
        agent.request(1)
        agent.end(1, Answered(status=200, body=b"a", seconds=0.1))
        again = agent.request(1)
        self.assertEqual(runs(again), 0)
        self.assertIsInstance(again[0].message, AnswerPart)

    def test_results_of_target(self):
        """Each result of a run leads to its final status."""
        table = (
            (Shed(retry_after=0.1), FinalStatusKind.NOT_RUN),
            (NeverSent(reason="refused"), FinalStatusKind.NOT_RUN),
            (Broke(reason="reset"), FinalStatusKind.UNKNOWN),
            (TimedOut(), FinalStatusKind.LATE),
        )
        for result, status in table:
            with self.subTest(result=result):
                agent = AgentHarness()
                agent.request(1)
                self.assertEqual(statuses(agent.end(1, result)), [status])

    def test_wrong_digest(self):
        """A request whose body doesn't match its digest doesn't run."""
        agent = AgentHarness()
        answer = agent.request(1, digest=b"0" * 16)
        self.assertEqual(runs(answer), 0)
        self.assertEqual(statuses(answer), [FinalStatusKind.NOT_RUN])

    def test_fetch_of_unknown_request(self):
        """Fetching an unknown request is answered with no received parts."""
        agent = AgentHarness()
        fetch = Fetch(flow=FLOW, token=agent.token, request=1, acked=1)
        message = agent.send(fetch)[0].message
        self.assertIsInstance(message, Progress)
        self.assertEqual(message.received_below, 0)

    def test_slots_are_the_limit(self):
        """No more requests run at the target than it has slots."""
        agent = AgentHarness()
        dispatched = sum(runs(agent.request(n, time_left_ms=9000)) for n in range(1, 9))
        self.assertEqual(dispatched, 3)
        after = agent.end(1, Answered(status=200, body=b"", seconds=0.1))
        self.assertEqual(runs(after), 1)

    def test_rejection_delay_grows(self):
        """A full queue rejects at once, with a growing retry delay."""
        agent = AgentHarness(queue_per_slot=1)
        waits = []
        for number in range(1, 60):
            for action in agent.request(number, time_left_ms=9000):
                if isinstance(action, Reply) and isinstance(
                    action.message, FinalStatus
                ):
                    waits.append(action.message.retry_after_ms)
        self.assertEqual(len(waits), 59 - 6)
        self.assertGreater(sum(waits[-10:]), 2 * sum(waits[:10]))

    def test_full_memory_rejects_new_work(self):
        """New work is rejected when memory is full; stored outcomes stay."""
        agent = AgentHarness()
        agent.request(1)
        agent.end(1, Answered(status=200, body=b"k", seconds=0.1))
        agent.owner.requests._kept_bytes = MAX_KEPT_BYTES
        self.assertEqual(statuses(agent.request(2)), [FinalStatusKind.NOT_RUN])
        self.assertIsInstance(agent.request(1)[0].message, AnswerPart)

    def test_upload_gap_is_reported_once(self):
        """Parts after a gap don't cause a progress message each."""
        agent = AgentHarness()
        replies = []
        for part in range(1, 40):
            replies += agent.request(1, part=part, parts=50, digest=b"d" * 16)
        self.assertLessEqual(len(replies), 6)


class TokenCheckTests(unittest.TestCase):
    """A packet is accepted only for its own service and flow."""

    def test_token_of_another_flow(self):
        """A packet with another flow's token is dropped."""
        agent = AgentHarness()
        agent.request(1, flow=b"g" * 16)
        self.assertEqual(agent.owner.dropped_by_reason["forged_token"], 1)

    def test_token_of_another_service(self):
        """A packet that arrived at another service's address is dropped."""
        agent = AgentHarness()
        ping = Ping(flow=FLOW, token=agent.token, acked=1)
        self.assertEqual(agent.send(ping, service="logs"), [])
        self.assertEqual(agent.owner.dropped_by_reason["foreign_service"], 1)

    def test_token_names_other_service(self):
        """A valid token of another service is rejected."""
        agent = AgentHarness()
        other = FlowToken(
            service="logs",
            ip="10.1.0.1",
            port=9000,
            instance=agent.record.instance,
            opening=1,
        )
        agent.token = seal_token(other, flow=FLOW, keys=KEYS)
        answer = agent.request(1)
        self.assertEqual(runs(answer), 0)
        self.assertIsInstance(answer[0].message, FlowUnknown)

    def test_opened_is_smaller_than_open(self):
        """The reply to OPEN is no larger than the OPEN."""
        agent = AgentHarness()
        message = Open(flow=FLOW, padding=bytes(MIN_OPEN_BYTES - 40))
        replies = agent.send(message)
        self.assertIsInstance(replies[0].message, Opened)
        size = len(caller_codec.encode(replies[0].message))
        self.assertLessEqual(size, MIN_OPEN_BYTES)

    def test_token_is_bound(self):
        """A token is valid for its own flow only."""
        token = FlowToken(service="maps", ip="10.1.0.1", port=1, instance=b"i" * 8)
        sealed = seal_token(token, flow=FLOW, keys=KEYS)
        self.assertEqual(open_token(sealed, flow=FLOW, keys=KEYS), token)
        self.assertIsNone(open_token(sealed, flow=b"g" * 16, keys=KEYS))


class LeavingTests(unittest.TestCase):
    """A draining target rejects new work and finishes the work it has."""

    def test_no_new_work(self):
        """New flows and new requests are rejected at once."""
        agent = AgentHarness()
        agent.owner.leave(now=agent.now)
        opened = agent.send(Open(flow=b"n" * 16, padding=bytes(MIN_OPEN_BYTES)))
        self.assertNotIsInstance(opened[0], Reply)
        self.assertEqual(statuses(agent.request(1)), [FinalStatusKind.NOT_RUN])

    def test_in_flight_finishes(self):
        """The agent doesn't shut down while a request runs."""
        agent = AgentHarness()
        agent.request(1, time_left_ms=60_000)
        agent.owner.leave(now=agent.now)
        agent.tick(30.0)
        self.assertFalse(agent.owner.is_finished(now=agent.now))
        ended = agent.end(1, Answered(status=200, body=b"a", seconds=30.0))
        self.assertIsInstance(ended[0].message, AnswerPart)
        self.assertTrue(agent.owner.is_finished(now=agent.now + 6))

    def test_upload_under_way_finishes(self):
        """An upload whose parts are still arriving is completed and run."""
        agent = AgentHarness()
        body = b"x" * 1500
        digest = blake2b(body, digest_size=16).digest()
        common = {"parts": 2, "digest": digest, "time_left_ms": 20_000}
        agent.request(1, part=0, body=body[:1100], **common)
        agent.owner.leave(now=agent.now)
        agent.tick(0.1)
        self.assertFalse(agent.owner.is_finished(now=agent.now))
        last = agent.request(1, part=1, body=body[1100:], **common)
        self.assertEqual(runs(last), 1)

    def test_silent_callers(self):
        """Flows of silent callers don't delay a draining agent beyond the timeout."""
        agent = AgentHarness()
        agent.send(
            StreamOpen(
                flow=FLOW, token=agent.token, request=1, acked=1, kind="map", after=0
            )
        )
        agent.owner.leave(now=agent.now)
        for _ in range(120):
            agent.tick(0.05)
        self.assertTrue(agent.owner.is_finished(now=agent.now))

    def test_flow_with_two_timers_expires(self):
        """A flow with two timers still expires."""
        agent = AgentHarness()
        agent.tick(4.5)
        agent.owner.leave(now=agent.now)
        agent.tick(0.7)
        agent.send(Ping(flow=FLOW, token=agent.token, acked=1))
        for _ in range(200):
            agent.tick(0.05)
        self.assertEqual(agent.owner.flows, 0)

    def test_go_away_is_repeated(self):
        """GoAway is sent repeatedly, through different balancers."""
        agent = AgentHarness()
        agent.send(Ping(flow=FLOW, token=agent.token, acked=1), via=("10.2.0.2", 9000))
        actions = agent.owner.leave(now=agent.now)
        for _ in range(20):
            actions += agent.tick(0.1)
        moves = [
            a for a in actions if isinstance(a, Reply) and isinstance(a.message, GoAway)
        ]
        self.assertGreaterEqual(len(moves), 3)
        self.assertEqual(len({a.via for a in moves}), 2)


class StreamTests(unittest.TestCase):
    """Streams deliver every item within a bounded window."""

    def _stream(self) -> AgentHarness:
        agent = AgentHarness()
        agent.send(
            StreamOpen(
                flow=FLOW, token=agent.token, request=1, acked=1, kind="map", after=0
            )
        )
        return agent

    def test_resent_by_another_balancer(self):
        """An unacknowledged item is resent through another balancer."""
        agent = self._stream()
        agent.send(Ping(flow=FLOW, token=agent.token, acked=1), via=("10.2.0.2", 9000))
        key = RequestKey(FLOW, 1)
        first = agent.owner.stream_item_read(key, 1, b"item", now=agent.now)
        again = agent.tick(0.3)
        self.assertEqual(first[0].message, again[0].message)
        self.assertNotEqual(first[0].via, again[0].via)

    def test_acknowledged_item_is_released(self):
        """Acknowledged items aren't resent, and the reader gets credit."""
        agent = self._stream()
        agent.owner.stream_item_read(RequestKey(FLOW, 1), 1, b"item", now=agent.now)
        credit = agent.send(StreamAck(flow=FLOW, token=agent.token, request=1, up_to=1))
        self.assertEqual(credit[0].items, 1)
        self.assertEqual(agent.tick(2.0), [])

    def test_timers_do_not_multiply(self):
        """A stream that is never acknowledged keeps one timer."""
        agent = self._stream()
        for number in range(1, 30):
            agent.owner.stream_item_read(
                RequestKey(FLOW, 1), number, b"i", now=agent.now
            )
            agent.tick(0.05)
        self.assertLessEqual(len(agent.owner._timers), 3)


class TargetLifecycleTests(unittest.TestCase):
    """The results of runs, not health checks, decide the target's state."""

    def _silent(self) -> AgentHarness:
        """Return an agent whose target has left three runs unanswered."""
        agent = AgentHarness()
        for number in (1, 2, 3):
            agent.request(number, time_left_ms=100)
        agent.tick(0.2)
        for number in (1, 2, 3):
            agent.end(number, TimedOut())
        return agent

    def test_healthy_but_unresponsive(self):
        """A healthy target that answers no requests takes no new flows."""
        agent = self._silent()
        agent.owner.lifecycle = agent.owner.lifecycle.healthy(now=agent.now)
        self.assertEqual(agent.owner.lifecycle.state, "unresponsive")
        self.assertEqual(statuses(agent.request(4)), [FinalStatusKind.NOT_RUN])
        agent.tick(2.1)
        self.assertEqual(runs(agent.request(5)), 1)
        self.assertEqual(runs(agent.request(6)), 0)
        agent.end(5, Answered(status=200, body=b"", seconds=0.1))
        self.assertTrue(agent.owner.lifecycle.takes_flows)

    def test_unresponsive_target_without_flows_is_probed(self):
        """An unresponsive target takes flows again later, so that it is probed."""
        agent = self._silent()
        agent.send(Close(flow=FLOW, token=agent.token))
        open_again = Open(flow=b"n" * 16, padding=bytes(MIN_OPEN_BYTES))
        self.assertNotIsInstance(agent.send(open_again)[0], Reply)
        agent.tick(2.1)
        report = agent.owner.load(now=agent.now)
        self.assertEqual(report.condition, Condition.SERVING)
        self.assertLess(report.age_ms, 100)
        self.assertIsInstance(agent.send(open_again)[0], Reply)

    def test_probe_interval_doubles(self):
        """Each failed probe doubles the time to the next, up to a limit."""
        lifecycle = TargetLifecycle().healthy(now=0.0)
        for _ in range(3):
            lifecycle = lifecycle.unanswered(now=0.0)
        waits, now = [], 0.0
        for _ in range(7):
            waits.append(lifecycle.until - now)
            now = lifecycle.until
            lifecycle = lifecycle.advance(now=now).unanswered(now=now)
        self.assertEqual(waits, [2.0, 4.0, 8.0, 16.0, 32.0, 60.0, 60.0])

    def test_short_deadlines_are_no_failures(self):
        """Timeouts of runs with short deadlines don't count as failures."""
        agent = AgentHarness()
        agent.request(1)
        agent.end(1, Answered(status=200, body=b"", seconds=0.2))
        for number in (2, 3, 4, 5):
            agent.request(number, time_left_ms=150)
            agent.tick(0.16)
            agent.end(number, TimedOut())
        self.assertEqual(agent.owner.lifecycle.state, "serving")

    def test_queue_leaves_time_to_run(self):
        """A request that could start but not finish in time is rejected."""
        agent = AgentHarness()
        agent.request(1)
        agent.end(1, Answered(status=200, body=b"", seconds=0.3))
        for number in (2, 3, 4):
            agent.request(number, time_left_ms=5000)
        self.assertEqual(
            statuses(agent.request(5, time_left_ms=350)), [FinalStatusKind.NOT_RUN]
        )
        self.assertEqual(statuses(agent.request(6, time_left_ms=5000)), [])

    def test_shedding_ends(self):
        """A shedding target takes flows again after its retry delay."""
        agent = AgentHarness()
        agent.request(1)
        agent.end(1, Shed(retry_after=1.5))
        self.assertFalse(agent.owner.lifecycle.takes_flows)
        agent.tick(1.6)
        self.assertTrue(agent.owner.lifecycle.takes_flows)

    def test_cancelled_runs_are_no_failures(self):
        """Cancelled runs don't count as failures."""
        from monsoonpier.agent.tokens.actions import Aborted

        agent = AgentHarness()
        for number in range(1, 6):
            agent.request(number)
            agent.end(number, Aborted())
        self.assertEqual(agent.owner.lifecycle.state, "serving")
