"""Questions to agents: who holds these flows?

The load that it answers: after everything has lost power all flows are dead, and a
question a flow and agent was more than the links of small entry VMs carry. So flows
that come up at about the same time go into one question.
"""

from collections import OrderedDict
from collections.abc import Iterable

from monsoonpier.balancer.actions import ToAgent
from monsoonpier.balancer.packets.scope import PacketScope
from monsoonpier.wire.frames import MAX_ASKED, Whose

__all__ = ["HolderQuestions"]

QUESTION_SECONDS = 0.02  # flows that come up in this time go into one question
# When many come up they wait for one another longer: a question's frame costs as
# much as four flows in it, times the agents of the service.
MAX_QUESTION_SECONDS = 0.1
MICROSECONDS = 1_000_000
MAX_QUESTIONS = 256  # of the last ten seconds, at one in 40 ms


class HolderQuestions:
    """Collects flows, and asks the agents of their services. Does no I/O."""

    def __init__(self, *, scope: PacketScope) -> None:
        self._scope = scope
        self._to_ask_by_service: dict[str, list[bytes]] = {}
        self._flows_by_question: OrderedDict[int, tuple[bytes, ...]] = OrderedDict()
        # An agent that was frozen may answer a question of this balancer's last
        # run; its number must not be one of this run's.
        self._last_question = int(scope.started_at * MICROSECONDS)
        self._send_at = 0.0

    @property
    def is_waiting(self) -> bool:
        """Whether `due` will have something."""
        return bool(self._to_ask_by_service)

    def put(self, flow: bytes, *, services: Iterable[str]) -> None:
        """Put a flow on the next question to all agents of these services."""
        for service in sorted(services):
            self._to_ask_by_service.setdefault(service, []).append(flow)
        self._scope.counts_by_result["asked"] += 1

    def due(self, *, now: float) -> list[ToAgent]:
        """Return the questions for all flows that have come up, if it is time."""
        if now < self._send_at or not self._to_ask_by_service:
            return []
        asked, self._to_ask_by_service = self._to_ask_by_service, {}
        most = max(map(len, asked.values()))
        wait = min(QUESTION_SECONDS * most, MAX_QUESTION_SECONDS)
        self._send_at = now + max(QUESTION_SECONDS, wait)
        return [
            action
            for service, flows in asked.items()
            for start in range(0, len(flows), MAX_ASKED)
            for action in self._question(
                service, tuple(flows[start : start + MAX_ASKED]), now=now
            )
        ]

    def flows_of(self, question: int) -> tuple[bytes, ...]:
        """Return the flows that a question was about, if it is remembered."""
        return self._flows_by_question.get(question, ())

    def _question(
        self, service: str, flows: tuple[bytes, ...], *, now: float
    ) -> list[ToAgent]:
        names = self._askable(service, flows)
        self._last_question += 1
        self._flows_by_question[self._last_question] = flows
        if len(self._flows_by_question) > MAX_QUESTIONS:
            self._flows_by_question.popitem(last=False)
        for flow in flows:
            self._scope.log.note(
                "holder asked for", now=now, flow=flow, agents=len(names)
            )
        frame = Whose(question=self._last_question, service=service, flows=flows)
        return self._scope.tell(frame, names=names)

    def _askable(self, service: str, flows: tuple[bytes, ...]) -> list[str]:
        """Return the agents that have not denied all of these flows."""
        known_flows = [self._scope.flows.get(flow) for flow in flows]
        denied = [
            known.inquiry.denied
            for known in known_flows
            if known is not None and known.inquiry is not None
        ]
        by_all = set.intersection(*denied) if denied else set()
        return sorted(self._scope.membership.table.names_of(service) - by_all)
