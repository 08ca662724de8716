"""Dead flows after a power loss everywhere, with many targets."""

import heapq
import itertools
import random
import unittest

from monsoonpier.balancer.packets.context import ResetCaller
from monsoonpier.model.target import Condition
from monsoonpier.wire.frames import OwnershipQuery, OwnershipReply
from tests.packets.rig import SteeringRig, packet, record

BALANCER_START = 1_000.0  # in seconds
AGENTS_UP = (0.05, 0.55)  # after the balancer's start
ONE_WAY_SECONDS = 0.003
RETRY_INTERVAL = 0.02
RETRANSMISSIONS = (0.2, 0.6, 1.4, 3.0)  # seconds after the first packet
FLOWS = 60
CALLER_TIMEOUT = 4.0


class Outage:
    """One balancer, the agents of a service, and callers of dead flows.

    Args:
        targets: How many agents have a target.
        lost: Share of queries and replies that are lost.
        silent: Names of agents that never reply.
        vacant: How many more agents start without a target and report it.
        vanished: How many more agents start without a target and never report it.
    """

    def __init__(
        self,
        *,
        targets: int,
        lost: float,
        silent: frozenset[str] = frozenset(),
        vacant: int = 0,
        vanished: int = 0,
    ) -> None:
        self.draw = random.Random(11)
        self.rig = SteeringRig(targets=0, started_at=BALANCER_START)
        self.rig.membership.has_agreed_with_any = True
        self.lost = lost
        self.silent = silent
        self.reset_delays: list[float] = []
        self.queries = 0
        self._first_sent_at_by_flow: dict[bytes, float] = {}
        self._events: list = []
        self._order = itertools.count()
        for number in range(1, targets + 1):
            self._after(self.draw.uniform(*AGENTS_UP), self._agent_up, number)
        for number in range(targets + 1, targets + vacant + vanished + 1):
            is_absent = number <= targets + vacant
            after = self.draw.uniform(*AGENTS_UP)
            self._after(after, self._agent_without_target_up, number, is_absent)
        for number in range(1, FLOWS + 1):
            # Callers send before or after the power returns.
            first_sent = self.draw.uniform(-1.5, 0.8)
            for offset in (0.0, *RETRANSMISSIONS):
                if first_sent + offset > 0.3:
                    self._after(first_sent + offset, self._caller_sends, number)
        self._after(RETRY_INTERVAL, self._retry)

    def play(self) -> None:
        """Run until every caller has given up."""
        while self._events:
            self.now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)

    def _after(self, seconds: float, call, *arguments) -> None:
        at = (self.now if hasattr(self, "now") else BALANCER_START) + seconds
        heapq.heappush(self._events, (at, next(self._order), call, arguments))

    def _agent_up(self, number: int) -> None:
        name = f"maps-{number}"
        # Half of them have not received a heartbeat of their target yet.
        condition = Condition.SERVING if number % 2 else Condition.STARTING
        ip = f"10.2.{number // 250}.{number % 250}"
        target = record(name, ip=ip, data_centre="dc-1", condition=condition)
        self.rig.membership.table.learn(target, now=self.now)

    def _agent_without_target_up(self, number: int, is_absent: bool) -> None:
        """Start an agent without a target."""
        name = f"maps-{number}"
        self.silent |= {name}
        ip = f"10.2.{number // 250}.{number % 250}"
        target = record(
            name,
            ip=ip,
            data_centre="dc-1",
            condition=Condition.STARTING,
            is_absent=is_absent,
        )
        self.rig.membership.table.learn(target, now=self.now)

    def _caller_sends(self, number: int) -> None:
        sent = packet(number, size=100)
        if self._first_sent_at_by_flow.get(sent.flow) == -1.0:
            return
        self._first_sent_at_by_flow.setdefault(sent.flow, self.now)
        self._do(self.rig.caller(sent, now=self.now))

    def _retry(self) -> None:
        self._do(self.rig.steering.retry(now=self.now, draw=self.draw))
        if self.now < BALANCER_START + CALLER_TIMEOUT:
            self._after(RETRY_INTERVAL, self._retry)

    def _do(self, actions: list) -> None:
        names = {(r.ip, r.port): r.name for r in self.rig.membership.table.records}
        for action in actions:
            if isinstance(action, ResetCaller):
                flow = action.packet.flow
                self.reset_delays.append(self.now - self._first_sent_at_by_flow[flow])
                self._first_sent_at_by_flow[flow] = -1.0
            elif isinstance(action.frame, OwnershipQuery):
                self.queries += 1
                self._deliver_query(names[action.endpoint], action.frame)

    def _deliver_query(self, name: str, question: OwnershipQuery) -> None:
        is_lost = self.draw.random() < self.lost
        if not is_lost and name not in self.silent:
            self._after(2 * ONE_WAY_SECONDS, self._reply, name, question)

    def _reply(self, name: str, question: OwnershipQuery) -> None:
        reply = OwnershipReply(
            question=question.question,
            agent=name,
            held=(),
            is_conclusive=True,
            run_ms=round((self.now - BALANCER_START) * 1000),
        )
        self._do(self.rig.agent(reply, now=self.now))


class DeadFlowTests(unittest.TestCase):
    """Resets of dead flows after a power loss, and their delays."""

    def test_all_flows_are_reset_soon(self) -> None:
        """All dead flows are reset within a second, though messages are lost."""
        for targets in (109, 300):
            with self.subTest(targets=targets):
                outage = Outage(targets=targets, lost=0.05)
                outage.play()
                delays = sorted(outage.reset_delays)
                self.assertEqual(len(delays), FLOWS)
                self.assertLess(delays[FLOWS * 9 // 10], 0.8)
                self.assertLess(delays[-1], 1.0)

    def test_vms_without_a_target(self) -> None:
        """Agents without a target don't delay the resets."""
        for vacant, vanished, most in ((20, 0, 1.0), (0, 5, 1.0), (15, 5, 1.0)):
            with self.subTest(vacant=vacant, vanished=vanished):
                outage = Outage(targets=46, lost=0.05, vacant=vacant, vanished=vanished)
                outage.play()
                self.assertEqual(len(outage.reset_delays), FLOWS)
                self.assertLess(max(outage.reset_delays), most)
                # Most resets don't wait for the last agents.
                self.assertLess(sum(outage.reset_delays) / FLOWS, 0.5)

    def test_mostly_vms_without_a_target(self) -> None:
        """If most agents have no target, resets wait until one could be found."""
        for vacant, vanished in ((14, 0), (0, 14)):
            with self.subTest(vacant=vacant, vanished=vanished):
                outage = Outage(targets=9, lost=0.05, vacant=vacant, vanished=vanished)
                outage.play()
                self.assertEqual(len(outage.reset_delays), FLOWS)
                self.assertLess(max(outage.reset_delays), 2.0)

    def test_queries_per_flow(self) -> None:
        """Queries are batched: an agent gets fewer than one for two dead flows."""
        outage = Outage(targets=300, lost=0.05, vacant=30)
        outage.play()
        self.assertEqual(len(outage.reset_delays), FLOWS)
        self.assertLess(outage.queries / (330 * FLOWS), 0.5)

    def test_one_silent_agent(self) -> None:
        """No flow is reset while one agent doesn't reply, as it may own the flow."""
        outage = Outage(targets=109, lost=0.0, silent=frozenset({"maps-7"}))
        outage.play()
        self.assertEqual(outage.reset_delays, [])
