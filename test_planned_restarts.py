"""Live flows while balancers and agents are restarted, or their addresses reused."""

import unittest

from monsoonpier.balancer.membership import Membership
from monsoonpier.model.target import Condition
from monsoonpier.wire.frames import FlowNotOwned, ForwardPacket, OwnershipReply
from monsoonpier.wire.packet import Packet
from tests.packets.rig import (
    CONVERGED,
    OWN,
    SteeringRig,
    packet,
    record,
    replace,
    resets,
)

HOSTS = 8
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
