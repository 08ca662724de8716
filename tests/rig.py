"""A simulation of the token protocol: one caller, a few agents, a fake clock.

The decision code is the product's own; the network, the target and time are
simulated. Faults are plain attributes that tests set.
"""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

from monsoonpier.agent.tokens import actions
from monsoonpier.agent.tokens.owner import FlowOwner
from monsoonpier.balancer.actions import ToAgent, ToCaller
from monsoonpier.balancer.tokens.decision import Balancer
from monsoonpier.caller.session import FlowLostEvent, FlowSession, RequestEnded
from monsoonpier.model.address import Address
from monsoonpier.model.keys import Key, KeyRing
from monsoonpier.model.outcome import Outcome
from monsoonpier.model.service import Configuration, Kind, Limits, Preference, Service
from monsoonpier.model.target import TargetRecord
from monsoonpier.model.token import FlowToken
from monsoonpier.wire.datagrams import reply_codec
from monsoonpier.wire.frames import (
    Announce,
    BalancerRecord,
    Heartbeat,
    OpenReturned,
    ReplyDatagram,
)

KEYS = KeyRing(keys=(Key(id=1, secret=b"k" * 32),))
CALLER = ("10.9.9.9", 5000)
DELAY = 0.001
TICK = 0.05


def service(**limits) -> Service:
    """Return a service with a kind of work of each type."""
    kinds = {
        "reading": Kind(name="reading", idempotent=True),
        "top-up": Kind(name="top-up"),
        "map": Kind(name="map", stream=True),
    }
    return Service(
        name="maps",
        address=Address(ip="10.0.0.1", port=7001),
        targets=("maps-*",),
        kinds_by_name=kinds,
        limits=Limits(**{"cold_start_seconds": 0.0} | limits),
        prefer=Preference.ANY,
    )


def record(name: str, *, host: int = 1, epoch: int = 1, **more) -> TargetRecord:
    """Return a target's record."""
    fields = {
        "name": name,
        "service": "maps",
        "data_centre": "dc-1",
        "ip": f"10.1.0.{host}",
        "port": 9000,
        "control": f"10.1.0.{host}:9001",
        "instance": bytes([host, epoch % 256]) * 4,
        "epoch": epoch,
        "slots": 3,
        "connections": 2000,
        "answers_queries": True,
    }
    return TargetRecord(**fields | more)


def holder(of: TargetRecord, **limits) -> FlowOwner:
    """Return the decision logic of an agent whose target serves."""
    token = FlowToken(service="maps", ip=of.ip, port=of.port, instance=of.instance)
    made = FlowOwner(token=token, keys=KEYS, slots=of.slots, connections=of.connections)
    made.service = service(**limits)
    made.lifecycle = made.lifecycle.healthy(now=0.0)
    return made


def balancer(name: str = "b1", *, host: int = 1, **limits) -> Balancer:
    """Return the decision logic of a balancer that has the service configured."""
    own = BalancerRecord(
        name=name,
        data_centre="dc-1",
        ip=f"10.2.0.{host}",
        port=9000,
        control=f"10.2.0.{host}:9001",
        epoch=1,
    )
    made = Balancer(own=own, keys=KEYS)
    made.membership.configure(
        Configuration(version=1, services_by_name={"maps": service(**limits)})
    )
    return made


@dataclass(kw_only=True)
class Network:
    """Faults of the network: probabilities, and the delay of duplicates."""

    drop: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    late_copy_seconds: float = 0.0
    drop_first: int = 0


@dataclass(kw_only=True)
class Target:
    """The behaviour of the target; counts the runs of each request body."""

    seconds: float = 0.02
    result: actions.RunResult | None = None
    runs: Counter = field(default_factory=Counter)


class Rig:
    """Simulates the network, the target and time around the decision code."""

    def __init__(self, *, seed: int = 0, agents: int = 2, balancers: int = 2) -> None:
        self.draw = random.Random(seed)
        self.now = 100.0
        self.network = Network()
        self.target = Target()
        self.records = {
            f"maps-{n}": record(f"maps-{n}", host=n) for n in range(1, agents + 1)
        }
        self.holders = {n: holder(r) for n, r in self.records.items()}
        self.dead: set[str] = set()
        self.balancers = [balancer(f"b{n}", host=n) for n in range(1, balancers + 1)]
        self.outcomes: dict[bytes, Outcome] = {}
        self.sessions: list[FlowSession] = []
        self._body_by_request: dict[tuple[bytes, int], bytes] = {}
        self._events: list = []
        self._order = itertools.count()
        self._aborted: set = set()
        for agent in self.records:
            self.announce(agent)
        self.at(0.0, self._tick)

    # Operations for tests

    def at(self, delay: float, call, *arguments) -> None:
        """Schedule a call after a delay in seconds."""
        entry = (self.now + delay, next(self._order), call, arguments)
        heapq.heappush(self._events, entry)

    def run(self, seconds: float) -> None:
        """Advance time by some seconds."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        self.now = until

    def open(self) -> FlowSession:
        """Start to open a flow."""
        flow = self.draw.randbytes(16)
        session = FlowSession(flow=flow, now=self.now)
        self.sessions.append(session)
        self._poll(session)
        return session

    def request(
        self, session: FlowSession, kind: str, body: bytes, *, deadline: float = 2.0
    ) -> int:
        """Send a request; ``outcomes`` will have its outcome under its body."""
        number = session.request(kind, body, deadline=self.now + deadline, now=self.now)
        self._body_by_request[(session.flow, number)] = body
        self._flush(session)
        return number

    def cancel(self, session: FlowSession, number: int) -> None:
        """Cancel a request."""
        session.cancel(number, now=self.now)
        self._flush(session)

    def announce(self, agent: str) -> None:
        """Announce an agent and its load to all balancers."""
        of = self.records[agent]
        load = self.holders[agent].load(now=self.now)
        for each in self.balancers:
            each.from_process(
                Announce(record=of),
                sender=(of.ip, of.port),
                now=self.now,
                draw=self.draw,
            )
            beat = Heartbeat(name=of.name, epoch=of.epoch, change=of.change, load=load)
            each.from_process(
                beat, sender=(of.ip, of.port), now=self.now, draw=self.draw
            )

    def replace_agent(self, agent: str) -> None:
        """Start a new instance at an agent's address, without any state."""
        old = self.records[agent]
        host = int(old.ip.rsplit(".", 1)[1])
        self.records[agent] = record(agent, host=host, epoch=old.epoch + 1)
        self.holders[agent] = holder(self.records[agent])
        self.announce(agent)

    def replace_balancers(self) -> None:
        """Replace all balancers by new ones with empty tables."""
        self.balancers = [
            balancer(f"new-b{n}", host=n) for n in range(1, len(self.balancers) + 1)
        ]

    # Packets

    def _transmit(self, call, *arguments) -> None:
        network, draw = self.network, self.draw
        if network.drop_first > 0:
            network.drop_first -= 1
            return
        if network.drop and draw.random() < network.drop:
            return
        delay = DELAY
        if network.reorder and draw.random() < network.reorder:
            delay += draw.uniform(0, 0.03)
        self.at(delay, call, *arguments)
        if network.duplicate and draw.random() < network.duplicate:
            self.at(delay + draw.uniform(0, 0.02), call, *arguments)
        if network.late_copy_seconds:
            self.at(delay + network.late_copy_seconds, call, *arguments)

    def _flush(self, session: FlowSession) -> None:
        outbox, session.outbox = session.outbox, []
        for data in outbox:
            self._transmit(self._to_balancer, data)

    def _to_balancer(self, data: bytes) -> None:
        chosen = self.draw.choice(self.balancers)
        action = chosen.from_caller(
            data, caller=CALLER, service="maps", now=self.now, draw=self.draw
        )
        self._do_balancer(chosen, action)

    def _do_balancer(self, chosen: Balancer, action) -> None:
        match action:
            case ToAgent(endpoint=endpoint, frame=frame):
                self.at(DELAY, self._to_agent, chosen, endpoint, frame)
            case ToCaller(payload=payload):
                self._transmit(self._to_caller, payload)

    def _to_agent(self, via: Balancer, endpoint, frame) -> None:
        for name, of in self.records.items():
            if of.address.endpoint == endpoint and name not in self.dead:
                done = self.holders[name].handle_datagram(
                    frame,
                    via=via.peers.own.endpoint,
                    now=self.now,
                    draw=self.draw,
                )
                self._do(name, done)

    def _do(self, agent: str, todo: list) -> None:
        for action in todo:
            match action:
                case actions.Reply() | actions.ReturnOpen():
                    self.at(DELAY, self._from_agent, agent, action)
                case actions.Run():
                    self._run(agent, action)
                case actions.Abort(key=key):
                    self._aborted.add(key)

    def _from_agent(self, agent: str, action) -> None:
        via = next(
            (b for b in self.balancers if b.peers.own.endpoint == action.via), None
        )
        if via is None or agent in self.dead:
            return
        load = self.holders[agent].load(now=self.now)
        common = {"service": "maps", "ip": action.ip, "port": action.port}
        common |= {"agent": agent, "load": load}
        match action:
            case actions.Reply(message=message):
                frame = ReplyDatagram(payload=reply_codec.encode(message), **common)
            case actions.ReturnOpen():
                frame = OpenReturned(
                    payload=action.payload,
                    tried=action.tried,
                    reason=action.reason,
                    retry_after_ms=action.retry_after_ms,
                    **common,
                )
        sender = self.records[agent].address.endpoint
        for each in via.from_process(
            frame, sender=sender, now=self.now, draw=self.draw
        ):
            self._do_balancer(via, each)

    def _to_caller(self, data: bytes) -> None:
        for session in self.sessions:
            if session.flow in data[:24]:
                self._handle_events(session, session.receive(data, now=self.now))

    def _handle_events(self, session: FlowSession, events: list) -> None:
        for event in events:
            match event:
                case RequestEnded(request=number, outcome=outcome):
                    body = self._body_by_request[(session.flow, number)]
                    assert body not in self.outcomes, "a second final outcome"
                    self.outcomes[body] = outcome
                case FlowLostEvent():
                    pass
        self._flush(session)

    # The target and time

    def _run(self, agent: str, run: actions.Run) -> None:
        result = self.target.result
        if not isinstance(result, actions.Shed | actions.NeverSent):
            self.target.runs[run.body] += 1
        seconds = self.target.seconds
        if result is None:
            body = b"answer to " + run.body
            result = actions.Answered(status=200, body=body, seconds=seconds)
        self.at(
            seconds, self._deliver_result, agent, self.holders[agent], run.key, result
        )

    def _deliver_result(self, agent: str, of: FlowOwner, key, result) -> None:
        # A process that was killed in the meantime receives no result.
        if self.holders.get(agent) is of and agent not in self.dead:
            if key in self._aborted:
                result = actions.TimedOut()
            done = of.run_ended(key, result, now=self.now, draw=self.draw)
            self._do(agent, done)

    def _tick(self) -> None:
        for name, of in self.holders.items():
            if name not in self.dead:
                self._do(name, of.tick(now=self.now, draw=self.draw))
        for session in self.sessions:
            self._poll(session)
        self.at(TICK, self._tick)

    def _poll(self, session: FlowSession) -> None:
        self._handle_events(session, session.poll(now=self.now))
