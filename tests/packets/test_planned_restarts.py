"""Live flows while balancers and agents are restarted, or their addresses reused."""

import itertools
import unittest

from monsoonpier.agent.packets.owner import PacketFlowOwner
from monsoonpier.balancer.actions import ToAgent
from monsoonpier.balancer.membership import Membership
from monsoonpier.model.target import Condition
from monsoonpier.wire.frames import (
    FlowNotOwned,
    FlowOwned,
    ForwardPacket,
    OwnershipQuery,
    OwnershipReply,
    RelayPacket,
)
from monsoonpier.wire.packet import Packet
from tests.packets.rig import (
    CONVERGED,
    LOG,
    OWN,
    SteeringRig,
    load,
    packet,
    record,
    replace,
    resets,
)

ANSWER_SECONDS = 0.01  # a query or probe, and its answer
HOSTS = 8
PROBES = (ForwardPacket, RelayPacket)
RESTARTED = "maps-5"


def reply(
    name: str, *, age_seconds: float | None = None, is_conclusive: bool, question: int
) -> OwnershipReply:
    """Return an agent's reply that it knows none of the queried flows."""
    return OwnershipReply(
        question=question,
        agent=name,
        held=(),
        is_conclusive=is_conclusive,
        run_ms=None if age_seconds is None else round(age_seconds * 1000),
    )


def denied_by(name: str, sent: Packet) -> FlowNotOwned:
    """Return an agent's report that its host has returned a probe."""
    return FlowNotOwned(agent=name, flow=sent.flow)


class RestartRig(SteeringRig):
    """A balancer that started with all hosts of its service, and their agents."""

    def __init__(self, *, hosts: int = HOSTS, started_at: float = CONVERGED) -> None:
        super().__init__(targets=hosts, started_at=started_at)
        self.hosts = hosts

    def restart_agent(self, name: str, *, now: float) -> None:
        """Let a new agent announce itself that has not found its host yet."""
        number = int(name.rpartition("-")[2])
        starting = record(name, host=number, epoch=2, condition=Condition.STARTING)
        self.learn(starting, now=now)

    def meet_peer(self, *, started_at: float, now: float) -> None:
        """Receive gossip of another balancer."""
        own = replace(OWN, name="lb-2", ip="10.1.0.2")
        peer = Membership(own=own, started_at=started_at)
        sent = peer.extra_gossip(OWN.endpoint, now=now, draw=self.draw)
        self.membership.from_process(
            sent.frame, sender=own.endpoint, now=now, draw=self.draw
        )

    def reply_from(self, names, *, now: float, is_conclusive: bool = True) -> list:
        """Let agents reply that they know none of the flows queried last."""
        question = self.steering._resolver._queries._last_query
        actions: list = []
        for name in names:
            answer = reply(
                name,
                age_seconds=now - CONVERGED,
                is_conclusive=is_conclusive,
                question=question,
            )
            actions += self.agent(answer, now=now)
        return actions

    def reached_names(self, actions: list) -> list[str]:
        """Return the targets that get a packet, directly or relayed."""
        endpoints = self.reached(
            [a for a in actions if isinstance(getattr(a, "frame", None), PROBES)]
        )
        records = self.membership.table.records
        return sorted(r.name for r in records if (r.ip, r.port) in endpoints)

    @property
    def others(self) -> list[str]:
        """The agents that are not restarted."""
        names = [f"maps-{number}" for number in range(1, self.hosts + 1)]
        return [name for name in names if name != RESTARTED]


class RestartedAgentTests(unittest.TestCase):
    """Guards against resets of live flows whose agent is starting."""

    def test_agent_that_starts_long_after_its_balancer(self) -> None:
        """A common start long ago doesn't make an agent that starts deny a flow."""
        rig = RestartRig()
        rig.restart_agent(RESTARTED, now=109.0)
        rig.caller(packet(size=10), now=109.1)
        actions = rig.reply_from(rig.others, now=109.11)
        actions += rig.steering.retry(now=109.3, draw=rig.draw)
        self.assertEqual(resets(actions), [])
        question = rig.steering._resolver._queries._last_query
        found = rig.agent(
            reply(RESTARTED, is_conclusive=False, question=question), now=109.4
        )
        self.assertEqual([type(a.frame) for a in found], [ForwardPacket])
        self.assertEqual(rig.names(found), [RESTARTED])

    def test_agent_that_starts_while_a_peer_is_older(self) -> None:
        """Soon after a common start an older balancer shows that power was not lost."""
        for peer_started_at, expected in (
            (CONVERGED - 2.0, []),
            (CONVERGED - 0.4, ["nobody holds the flow"]),
        ):
            with self.subTest(peer_started_at=peer_started_at):
                rig = RestartRig()
                rig.meet_peer(started_at=peer_started_at, now=100.3)
                rig.restart_agent(RESTARTED, now=101.0)
                rig.caller(packet(size=10), now=101.4)
                # The peer is the flow's other directory balancer, and doesn't reply.
                rig.steering.retry(now=101.44, draw=rig.draw)
                actions = rig.reply_from(rig.others, now=101.45)
                actions += rig.steering.retry(now=101.6, draw=rig.draw)
                self.assertEqual(resets(actions), expected)

    def test_peer_of_an_older_build(self) -> None:
        """A peer that doesn't send its uptime may be older."""
        rig = RestartRig()
        peer = Membership(own=replace(OWN, name="lb-2", ip="10.1.0.2"))
        sent = peer.extra_gossip(OWN.endpoint, now=100.3, draw=rig.draw).frame
        rig.membership.from_process(
            replace(sent, uptime_ms=None),
            sender=("10.1.0.2", 7720),
            now=100.3,
            draw=rig.draw,
        )
        self.assertTrue(rig.membership.has_older_peer)

    def test_agent_that_starts_beside_hosts_of_unknown_age(self) -> None:
        """Estimated ages of the other hosts don't make an agent that starts deny."""
        rig = RestartRig()
        rig.restart_agent(RESTARTED, now=101.0)
        rig.caller(packet(size=10), now=101.4)
        actions = rig.reply_from(rig.others, now=101.41, is_conclusive=False)
        for name in rig.others:
            sent = packet(size=10)
            actions += rig.agent(denied_by(name, sent), sent, now=101.42)
        actions += rig.steering.retry(now=101.6, draw=rig.draw)
        self.assertEqual(resets(actions), [])


class ColdHostTests(unittest.TestCase):
    """Guards against resets of live flows of hosts that are cold, or have just started.

    Such a host may have opened flows through an earlier agent of its machine.
    """

    def play(
        self, *, hosts: int, restarted: int, own_flow: bool, has_peer: bool = True
    ) -> list[str]:
        """Restart agents of cold hosts and a balancer; return the reasons of resets.

        Args:
            hosts: How many hosts the service has, all cold.
            restarted: How many of their agents are restarted.
            own_flow: Whether the first of these hosts owns the flow.
            has_peer: Whether another balancer was running before.
        """
        rig = RestartRig(hosts=hosts)
        if has_peer:
            rig.meet_peer(started_at=CONVERGED - 10.0, now=100.1)
        rig.membership.has_agreed = has_peer
        agents = [self._agent(n, is_restarted=n <= restarted) for n in range(1, 9)]
        sent = packet(size=10)
        actions = rig.caller(sent, now=101.2)
        actions += rig.steering.retry(now=101.24, draw=rig.draw)
        found: list[str] = []
        for step in range(1, 20):
            now = 101.24 + step * ANSWER_SECONDS
            found += resets(actions)
            frames = [a.frame for a in self._relayed(actions)]
            queries = [f for f in frames if isinstance(f, OwnershipQuery)]
            names = rig.reached_names(actions)
            answers = [
                agents[number - 1].query_reply(query, now=now)
                for query in queries[:1]
                for number in range(1, hosts + 1)
            ]
            answers += [
                self._probed(name, sent, owns=own_flow and name == "maps-1")
                for name in names
                if not queries
            ]
            actions = [a for frame in answers for a in rig.agent(frame, now=now)]
            actions += rig.steering.retry(now=now, draw=rig.draw)
        return found

    def _agent(self, number: int, *, is_restarted: bool) -> PacketFlowOwner:
        agent = PacketFlowOwner(
            name=f"maps-{number}", service="maps", slots=2, connections=100, log=LOG
        )
        agent.instance_started(
            b"i-1", is_first=not is_restarted, is_young=True, now=100.5
        )
        agent.condition = Condition.SERVING
        return agent

    def _relayed(self, actions: list) -> list:
        return [action for action in actions if isinstance(action, ToAgent)]

    def _probed(self, name: str, sent: Packet, *, owns: bool):
        if owns:
            return FlowOwned(flow=sent.flow, agent=name, load=load(), is_open=True)
        return denied_by(name, sent)

    def test_only_host_is_cold(self) -> None:
        """Its agent and the balancer are restarted right after the flow has opened."""
        for has_peer in (True, False):
            with self.subTest(has_peer=has_peer):
                reasons = self.play(
                    hosts=1, restarted=1, own_flow=True, has_peer=has_peer
                )
                self.assertEqual(reasons, [])

    def test_all_hosts_are_cold(self) -> None:
        """A service whose hosts are all cold isn't one that has lost power."""
        for restarted, has_peer in itertools.product((1, 2, HOSTS), (True, False)):
            with self.subTest(restarted=restarted, has_peer=has_peer):
                reasons = self.play(
                    hosts=HOSTS, restarted=restarted, own_flow=True, has_peer=has_peer
                )
                self.assertEqual(reasons, [])

    def test_flow_of_nobody(self) -> None:
        """A dead flow is reset as soon as all cold hosts have returned its packet."""
        reasons = self.play(hosts=HOSTS, restarted=2, own_flow=False)
        self.assertEqual(reasons, ["nobody holds the flow"])
