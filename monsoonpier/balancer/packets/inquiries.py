"""Flows that this balancer doesn't know: who holds them, or that nobody does."""

import heapq
from collections import deque

from monsoonpier.balancer.actions import ToAgent
from monsoonpier.balancer.packets.directory import HolderDirectory
from monsoonpier.balancer.packets.flows import Inquiry, KnownFlow
from monsoonpier.balancer.packets.questions import HolderQuestions
from monsoonpier.balancer.packets.scope import PacketScope, ServiceAgents
from monsoonpier.balancer.packets.tries import PacketTries
from monsoonpier.wire.frames import (
    Find,
    Found,
    Holds,
    NotHeld,
    Register,
)
from monsoonpier.wire.packet import Packet

__all__ = ["HolderInquiries"]

KEEPER_SECONDS = 0.03  # ten ways to a balancer of the same data centre and back
ASK_AGAIN_SECONDS = 0.1  # half of the time after which callers send again
# Agents that have not answered are asked again on this balancer's own clock, since
# callers back off up to 1.6 s: questions and answers get lost, and after a loss of
# power agents become known one by one. Each repeat waits twice as long. Of 60 callers
# of dead flows all were told, the last after 0.75 s; 41 in 4 s without repeats (109
# targets up in half a second, one message in twenty lost, simulated time).
REPEAT_SECONDS = 0.1
MAX_REPEATS = 5  # the last one after 3.1 s; then the caller's own packets ask
MAX_REPEATED = 16_384  # flows; the open flows of a balancer aimed at
LOOK_AGAIN_SECONDS = 0.1  # at flows that were denied before all was known
MAX_DENIED_EARLY = 8_192  # half the open flows of a balancer aimed at
ANY_SERVICE = "*"  # names the service while no configuration says which it is


class HolderInquiries:
    """Asks the flow's keepers, then all agents that may hold it. Does no I/O."""

    def __init__(self, *, scope: PacketScope) -> None:
        self._scope = scope
        self._directory = HolderDirectory(membership=scope.membership)
        self._tries = PacketTries(scope=scope)
        self._asked: deque[tuple[float, bytes]] = deque()
        self._repeats: list[tuple[float, bytes]] = []  # a heap, by time
        self._denied_early: list[bytes] = []
        self._questions = HolderQuestions(scope=scope)
        self._looked_at = 0.0

    @property
    def is_waiting(self) -> bool:
        """Whether `retry` has something to look after."""
        return (
            bool(self._asked or self._denied_early or self._repeats)
            or self._questions.is_waiting
            or self._directory.is_waiting
            or self._tries.is_waiting
        )

    # Asking

    def ask(self, packet: Packet, *, now: float) -> list:
        """Find the holder of the flow of a packet, which is kept for it."""
        route = self._scope.route(packet)
        if route is None:
            return self._try_all(packet)
        known = KnownFlow(service=route.service, created_at=now)
        self._scope.flows.put(packet.flow, known)
        holder = self._directory.holder(packet.flow)
        if holder is not None and self._scope.may_hold(holder):
            known.holders = (holder,)
            return self._scope.carry(packet, known, names=known.holders)
        questions = self._directory.find(packet.flow)
        inquiry = Inquiry(
            began_at=now, asked_at=now, packets=[packet], keepers_left=len(questions)
        )
        known.inquiry = inquiry
        if not questions:
            return self._ask_agents(known, inquiry, now=now)
        self._asked.append((now + KEEPER_SECONDS, packet.flow))
        return questions

    def ask_again(self, packet: Packet, known: KnownFlow, *, now: float) -> list:
        """Keep a further packet of the flow, and ask again if that is due."""
        inquiry = known.inquiry
        assert inquiry is not None
        inquiry.keep(packet)
        if not inquiry.asks_agents or now - inquiry.asked_at < ASK_AGAIN_SECONDS:
            return []
        agents = self._agents_of(known, now=now)
        verdict = self._weigh(known, agents, now=now)
        if verdict or not agents.names - inquiry.denied:
            return verdict
        tries = []
        services = self._services_of(known)
        if not self._scope.may_have_lost_power(services, now=now):
            tries = self._try_on_doubtful(known, now=now)
        return tries + self._ask_agents(known, inquiry, now=now)

    def _ask_agents(self, known: KnownFlow, inquiry: Inquiry, *, now: float) -> list:
        """Put the flow on the next question to all agents that may hold it."""
        flow = inquiry.packets[-1].flow
        if not inquiry.asks_agents:
            inquiry.asks_agents = True
            if len(self._repeats) < MAX_REPEATED:
                heapq.heappush(self._repeats, (now + REPEAT_SECONDS, flow))
        inquiry.asked_at = now
        self._questions.put(flow, services=self._services_of(known))
        return self._questions.due(now=now)

    def _services_of(self, known: KnownFlow) -> frozenset[str]:
        """Return the services whose targets may hold a flow that is asked for.

        Those of the present configuration: a newer one may come meanwhile.
        """
        assert known.inquiry is not None
        return self._scope.services_of(known.inquiry.packets[-1], known)

    def _agents_of(self, known: KnownFlow, *, now: float) -> ServiceAgents:
        return self._scope.agents_of(self._services_of(known), now=now)

    def _agents_among(
        self,
        agents_by_services: dict[frozenset[str], ServiceAgents],
        known: KnownFlow,
        *,
        now: float,
    ) -> ServiceAgents:
        """Return the agents that may hold a flow, worked out once for many flows."""
        services = self._services_of(known)
        if services not in agents_by_services:
            agents_by_services[services] = self._scope.agents_of(services, now=now)
        return agents_by_services[services]

    def _try_all(self, packet: Packet) -> list:
        """Pass on a packet whose address has no route that is known here.

        The flow may be open through a newer configuration than this one, or
        there is none yet since all was restarted without the store. Agents
        deliver it only if their target holds it or serves that address. It goes by
        way of few agents: after a loss of power the packets of dead flows, each to
        77 agents, took the links on which the configuration came.
        """
        self._scope.counts_by_result["no_route"] += 1
        if self._scope.membership.configuration.version:
            return []
        names = [record.name for record in self._scope.membership.table.records]
        return self._tries.bring_to_all(packet, names, service=ANY_SERVICE)

    # Answers of keepers

    def from_balancer(
        self, frame, *, sender: tuple[str, int], now: float
    ) -> list | None:
        """Decide on a frame of the directory; ``None`` if it is another."""
        match frame:
            case Register():
                self._directory.registered(frame)
                return []
            case Find():
                answer = self._directory.answer(frame)
                return [ToAgent(endpoint=sender, frame=answer)]
            case Found():
                return self._found(frame, now=now)
        return None

    def _found(self, frame: Found, *, now: float) -> list:
        known = self._scope.flows.get(frame.flow)
        if known is None or known.inquiry is None:
            return []
        inquiry = known.inquiry
        inquiry.keepers_left -= 1
        may_hold = self._scope.may_hold(frame.holder)
        if may_hold and frame.holder not in inquiry.denied:
            self._scope.counts_by_result["found"] += 1
            self._scope.log.note(
                "holder found", now=now, flow=frame.flow, target=frame.holder
            )
            known.holders = (frame.holder,)
            return self.settle(known)
        if inquiry.keepers_left > 0 or inquiry.asks_agents:
            return []
        return self._ask_agents(known, inquiry, now=now)

    def settle(self, known: KnownFlow) -> list:
        """End the inquiry of a flow whose holder is known; send what was kept."""
        inquiry, known.inquiry = known.inquiry, None
        if inquiry is None:
            return []
        # A packet that agents tried on their targets has reached the holder.
        return [
            action
            for packet in inquiry.packets
            if packet is not inquiry.tried
            for action in self._scope.carry(packet, known, names=known.holders)
        ]

    # Answers of agents

    def answered(self, frame: Holds, *, now: float) -> list:
        """Decide on an agent's answer to a question for many flows."""
        actions: list = []
        run_seconds = None if frame.run_ms is None else frame.run_ms / 1000
        self._scope.runs.told(
            frame.agent,
            run_seconds=run_seconds,
            is_absent=frame.is_absent,
            now=now,
        )
        agents_by_services: dict[frozenset[str], ServiceAgents] = {}
        for flow in self._questions.flows_of(frame.question):
            known = self._scope.flows.get(flow)
            if known is None or known.inquiry is None:
                continue
            agents = self._agents_among(agents_by_services, known, now=now)
            if flow in frame.held:
                self._scope.log.note(
                    "holder found", now=now, flow=flow, target=frame.agent
                )
                known.holders = (frame.agent,)
                self.opened(flow, frame.agent, now=now)
                actions += self.settle(known)
            elif frame.is_sure:
                actions += self._note_denial(known, flow, frame.agent, agents, now=now)
            elif frame.run_ms is not None or frame.is_absent:
                known.inquiry.doubtful.add(frame.agent)
                actions += self._weigh(known, agents, now=now)
            else:
                actions += self._tries.try_on(known, frame.agent, now=now)
        return actions

    def _weigh(self, known: KnownFlow, agents: ServiceAgents, *, now: float) -> list:
        """Decide what the answers that have come so far mean for a flow.

        Where all targets have just started, none can hold the flow. To try its
        packet on all of them would fill the links when they are needed most.
        """
        inquiry = known.inquiry
        assert inquiry is not None
        heard = len(inquiry.denied) + len(inquiry.doubtful)
        if heard + len(agents.absent) + len(agents.starting) < len(agents.names):
            return []  # Most answers are not the last one: this costs them nothing.
        left = agents.names - inquiry.denied
        if not left:
            return self._all_denied(known, now=now)
        unheard = left - inquiry.doubtful
        has_lost_power = unheard <= agents.starting and (
            self._scope.lost_power_everywhere(self._services_of(known), now=now)
        )
        if has_lost_power:
            inquiry.denied |= left
            return self._all_denied(known, now=now)
        if unheard <= agents.absent:
            return self._try_on_doubtful(known, now=now)
        return []

    def _try_on_doubtful(self, known: KnownFlow, *, now: float) -> list:
        inquiry = known.inquiry
        assert inquiry is not None
        doubtful, inquiry.doubtful = inquiry.doubtful - inquiry.denied, set()
        return [
            action
            for agent in sorted(doubtful)
            for action in self._tries.try_on(known, agent, now=now)
        ]

    def _note_denial(
        self,
        known: KnownFlow,
        flow: bytes,
        agent: str,
        agents: ServiceAgents,
        *,
        now: float,
    ) -> list:
        self._scope.log.note("holder denies flow", now=now, flow=flow, target=agent)
        inquiry = known.inquiry
        assert inquiry is not None
        inquiry.denied.add(agent)
        return self._weigh(known, agents, now=now)

    def denied(self, frame: NotHeld, packet: Packet | None, *, now: float) -> list:
        """Decide on an agent's word that its target doesn't hold a flow."""
        known = self._scope.flows.get(frame.flow)
        if known is None:
            return []
        if known.inquiry is not None:
            agents = self._agents_of(known, now=now)
            return self._note_denial(known, frame.flow, frame.agent, agents, now=now)
        if frame.agent not in known.holders or packet is None:
            return []
        known.holders = tuple(name for name in known.holders if name != frame.agent)
        if known.holders:
            return []
        self._directory.forget(frame.flow)
        inquiry = Inquiry(
            began_at=now, asked_at=now, packets=[packet], denied={frame.agent}
        )
        known.inquiry = inquiry
        if not self._agents_of(known, now=now).names - inquiry.denied:
            inquiry.asks_agents = True
            return self._all_denied(known, now=now)
        return self._ask_agents(known, inquiry, now=now)

    def _all_denied(self, known: KnownFlow, *, now: float) -> list:
        """Reset a flow that all known agents deny, if no other can hold it."""
        inquiry = known.inquiry
        assert inquiry is not None
        if not inquiry.asks_agents:
            return []
        if not self._scope.knows_holders_of(self._services_of(known), now=now):
            self._conclude_later(inquiry.packets[-1].flow)
            return []
        return self._nobody_holds(known, inquiry, now=now)

    def _conclude_later(self, flow: bytes) -> None:
        if len(self._denied_early) < MAX_DENIED_EARLY:
            self._denied_early.append(flow)

    def _nobody_holds(self, known: KnownFlow, inquiry: Inquiry, *, now: float) -> list:
        packet = inquiry.packets[-1]
        self._scope.flows.drop(packet.flow)
        reason = "nobody holds the flow"
        self._scope.returning.refused(packet, asked_at=inquiry.began_at, now=now)
        return [self._scope.reset(packet, reason, now=now)]

    # Time

    def opened(self, flow: bytes, holder: str, *, now: float) -> None:
        """Note a flow whose holder is certain, for the directory."""
        self._directory.opened(flow, holder, now=now)

    def retry(self, *, now: float) -> list:
        """Register flows, go on without keepers, look at early denials again."""
        actions = self._register(now=now) + self._go_on(now=now)
        actions += self._repeat(now=now)
        actions += self._tries.flush()
        actions += self._questions.due(now=now)
        if self._denied_early and now - self._looked_at >= LOOK_AGAIN_SECONDS:
            actions += self._conclude_early(now=now)
        return actions

    def _register(self, *, now: float) -> list:
        lasting = []
        for flow, holder in self._directory.due(now=now):
            known = self._scope.flows.get(flow)
            if known is not None and not known.has_fin and known.holders == (holder,):
                lasting.append((flow, holder))
        return self._directory.register(lasting) if lasting else []

    def _go_on(self, *, now: float) -> list:
        """Ask the agents where a keeper hasn't answered in time."""
        actions: list = []
        while self._asked and self._asked[0][0] <= now:
            _, flow = self._asked.popleft()
            known = self._scope.flows.get(flow)
            if known is None or known.inquiry is None or known.inquiry.asks_agents:
                continue
            actions += self._ask_agents(known, known.inquiry, now=now)
        return actions

    def _repeat(self, *, now: float) -> list:
        """Ask those again that have not answered in time."""
        agents_by_services: dict[frozenset[str], ServiceAgents] = {}
        actions: list = []
        while self._repeats and self._repeats[0][0] <= now:
            _, flow = heapq.heappop(self._repeats)
            known = self._scope.flows.get(flow)
            if known is None or known.inquiry is None:
                continue
            inquiry = known.inquiry
            inquiry.repeats += 1
            if inquiry.repeats < MAX_REPEATS:
                seconds = REPEAT_SECONDS * 2**inquiry.repeats
                heapq.heappush(self._repeats, (now + seconds, flow))
            if now - inquiry.asked_at < REPEAT_SECONDS / 2:
                continue  # a packet of its caller has just asked
            agents = self._agents_among(agents_by_services, known, now=now)
            if not agents.names - inquiry.denied:
                self._conclude_later(flow)
                continue
            verdict = self._weigh(known, agents, now=now)
            actions += verdict or self._ask_agents(known, inquiry, now=now)
        return actions

    def _conclude_early(self, *, now: float) -> list:
        """Look at early denials again; what is known of a service is asked once."""
        self._looked_at = now
        flows, self._denied_early = dict.fromkeys(self._denied_early), []
        agents_by_services: dict[frozenset[str], ServiceAgents | None] = {}
        actions: list = []
        for flow in flows:
            known = self._scope.flows.get(flow)
            if known is None or known.inquiry is None:
                continue
            services, inquiry = self._services_of(known), known.inquiry
            if services not in agents_by_services:
                knows = self._scope.knows_holders_of(services, now=now)
                agents = self._agents_of(known, now=now) if knows else None
                agents_by_services[services] = agents
            agents = agents_by_services[services]
            if agents is None:
                self._denied_early.append(flow)
            elif inquiry.asks_agents and not agents.names - inquiry.denied:
                actions += self._nobody_holds(known, inquiry, now=now)
        return actions
