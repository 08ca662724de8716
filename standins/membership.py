"""A fleet of balancers and agents in simulated time, with the product's membership.

The decisions are the product's own; processes, network and time are simulated.
Balancers can be paused, cut off and restarted, and agents can end with or without an
announcement.
"""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable
from enum import IntEnum

import msgspec

from monsoonpier.agent.heartbeat_peers import HeartbeatPeers
from monsoonpier.balancer.actions import FetchTable, RequestStatus, ToAgent
from monsoonpier.balancer.membership import NAMED_BALANCERS, Membership
from monsoonpier.model.rendezvous import top
from monsoonpier.model.target import Condition, LoadReport, TargetRecord
from monsoonpier.wire.frames import (
    Announce,
    BalancerRecord,
    Gossip,
    Heartbeat,
    HeartbeatAck,
    RecordQuery,
    RecordReply,
    SilenceReport,
)

__all__ = ["Build", "SimulatedAgent", "SimulatedBalancer", "SimulatedFleet"]

SERVICE = "maps"
DELAY_SECONDS = (0.0005, 0.004)
GOSSIP_SECONDS = (0.8, 1.2)
STARTUP_GOSSIP_SECONDS = 0.15
STARTUP_SECONDS = 3.0
CHECK_SECONDS = 0.1  # between looks for updates to gossip
HEARTBEAT_SECONDS = (0.9, 1.1)
FIND_SECONDS = 0.2  # between announcements while no balancer responds
ANNOUNCE_EVERY = 30  # heartbeats
MAX_QUEUED_FRAMES = 500  # in the socket of a paused process
STATUS_SECONDS = 2.0  # after which a status request counts as unanswered
OLD_SILENT_SECONDS = 3.0  # older balancers report an agent without asking it
Endpoint = tuple[str, int]


class Build(IntEnum):
    """What a simulated process of some build can do.

    Agents ignore queries before ``ANSWERING`` and say that they answer them from
    ``SAYING`` on. Balancers before ``SAYING`` drop that from records, and report all
    agents as silent that send them no more heartbeats. Before ``ANSWERING`` their
    reports have no number. Apart from that they decide as this build does.
    """

    IGNORING = 0
    ANSWERING = 1
    SAYING = 2


class SimulatedBalancer:
    """A balancer process: its membership, and whether it runs."""

    def __init__(
        self, fleet: "SimulatedFleet", number: int, *, epoch: int, build: Build
    ) -> None:
        self.build = build
        self._silences = 0
        self._reported: set[tuple[str, int]] = set()
        self.record = BalancerRecord(
            name=f"b{number}",
            data_centre=fleet.data_centre(number),
            ip=f"10.2.{number // 250}.{number % 250}",
            port=9000,
            control=f"b{number}",
            epoch=epoch,
        )
        self.membership = Membership(own=self.record, started_at=fleet.now)
        self.is_paused = False
        self.sent_by_type: Counter[type] = Counter()
        self._fleet = fleet
        self._started_at = fleet.now
        self._next_round_at = fleet.now
        self._queued: list[tuple[object, Endpoint]] = []
        self._is_fetching = False
        self._tick()

    @property
    def endpoint(self) -> Endpoint:
        """The address of the process."""
        return self.record.endpoint

    @property
    def is_running(self) -> bool:
        """Whether this process is still that of its name."""
        return self._fleet.balancers_by_endpoint.get(self.endpoint) is self

    def resume(self, *, are_timers_first: bool = True) -> None:
        """Continue after a pause, with the frames that have arrived meanwhile.

        Args:
            are_timers_first: Whether timers run before the frames are read.
        """
        self.is_paused = False
        if are_timers_first:
            self._gossip_if_due()
        queued, self._queued = self._queued, []
        for frame, sender in queued:
            self.receive(frame, sender)

    def receive(self, frame: object, sender: Endpoint) -> None:
        """Process a frame, or keep it while the process is paused."""
        if self.is_paused:
            if len(self._queued) < MAX_QUEUED_FRAMES:
                self._queued.append((frame, sender))
            return
        fleet = self._fleet
        actions = self.membership.from_process(
            self._as_of_build(frame), sender=sender, now=fleet.now, draw=fleet.draw
        )
        self._execute(actions or [])

    def _execute(self, actions: list) -> None:
        for action in actions:
            match action:
                case ToAgent(endpoint=endpoint, frame=frame):
                    frame = self._as_of_build(frame)
                    self.sent_by_type[type(frame)] += 1
                    self._fleet.send(frame, source=self.endpoint, to=endpoint)
                case FetchTable(control=control):
                    self._fetch(control)

    def _fetch(self, control: str) -> None:
        """Fetch the differing records of a peer; one fetch at a time."""
        peer = self._fleet.balancer(control)
        reachable = peer and self._fleet.is_connected(self.endpoint, peer.endpoint)
        if self._is_fetching or not reachable:
            return
        self._is_fetching = True
        self._fleet.after(0.01, self._finish_fetch, peer)

    def _finish_fetch(self, peer: "SimulatedBalancer") -> None:
        self._is_fetching = False
        if self.is_paused or peer.is_paused:
            return
        digests = self.membership.table.bucket_digests
        records = peer.membership.records_for_peer(digests, now=self._fleet.now)
        if Build.SAYING is not self.build or Build.SAYING is not peer.build:
            records = [_without_capability(record) for record in records]
        silences = peer.membership.silences
        self.membership.learn_records(records, silences=silences, now=self._fleet.now)
        for record in peer.membership.peers.records_by_name.values():
            self.membership.peers.learn(record)

    def _tick(self) -> None:
        if not self.is_running and self._fleet.now > self._started_at:
            return
        if not self.is_paused:
            self._gossip_if_due()
        self._fleet.after(CHECK_SECONDS, self._tick)

    def _gossip_if_due(self) -> None:
        now, draw = self._fleet.now, self._fleet.draw
        is_due = now >= self._next_round_at
        if not is_due and not self.membership.has_updates:
            return
        self._execute(
            self.membership.gossip_round(now=now, draw=draw, eager=not is_due)
        )
        if not is_due:
            return
        if self.build is Build.SAYING:
            for request in self.membership.status_requests(now=now):
                self._request_status(request)
        else:
            self._report_without_asking()
        is_starting = now - self._started_at < STARTUP_SECONDS
        seconds = (
            STARTUP_GOSSIP_SECONDS if is_starting else draw.uniform(*GOSSIP_SECONDS)
        )
        self._next_round_at = now + seconds
        if not len(self.membership.table):
            for endpoint in list(self._fleet.balancers_by_endpoint):
                if endpoint != self.endpoint:
                    self._execute(
                        [self.membership.extra_gossip(endpoint, now=now, draw=draw)]
                    )

    def _request_status(self, request: RequestStatus) -> None:
        """Request the status of an agent; TCP repeats what is lost."""
        self.sent_by_type[RequestStatus] += 1
        agent = self._fleet.agents_by_name.get(request.name)
        is_answered = agent is not None and agent.is_alive
        seconds = 0.01 if is_answered else STATUS_SECONDS
        self._fleet.after(seconds, self._finish_status, request, is_answered)

    def _finish_status(self, request: RequestStatus, is_answered: bool) -> None:
        if not self.is_paused:
            self.membership.take_status(
                request, is_answered=is_answered, now=self._fleet.now
            )

    def _report_without_asking(self) -> None:
        """Report each agent that sends no more heartbeats here, as older builds do."""
        table = self.membership.table
        for record in table.observed_in(self.record.data_centre):
            process = (record.name, record.epoch)
            is_silent = (
                table.load_age(record.name, now=self._fleet.now) > OLD_SILENT_SECONDS
            )
            if is_silent == (process in self._reported):
                continue
            self._reported ^= {process}
            self._silences += 1
            is_numbered = self.build is Build.ANSWERING
            silence = SilenceReport(
                name=record.name,
                epoch=record.epoch,
                observer=self.record.name,
                silent=is_silent,
                observer_epoch=self.record.epoch if is_numbered else 0,
                number=self._silences if is_numbered else 0,
            )
            self.membership.peers.queue_update(silence)

    def _as_of_build(self, frame: object) -> object:
        """Return a frame as an older build understands it, or relays it."""
        if self.build is Build.SAYING:
            return frame
        match frame:
            case Gossip(records=records) if records:
                stripped = tuple(_without_capability(record) for record in records)
                return msgspec.structs.replace(frame, records=stripped)
            case Announce(record=record) | RecordReply(record=record):
                stripped = _without_capability(record)
                return msgspec.structs.replace(frame, record=stripped)
        return frame


def _without_capability(record: TargetRecord) -> TargetRecord:
    return msgspec.structs.replace(record, answers_queries=False)


class SimulatedAgent:
    """An agent process and its heartbeats."""

    def __init__(
        self, fleet: "SimulatedFleet", number: int, *, epoch: int, build: Build
    ) -> None:
        self.build = build
        self.record = TargetRecord(
            name=f"maps-{number}",
            service=SERVICE,
            data_centre=fleet.data_centre(number),
            ip=f"10.1.{number // 250}.{number % 250}",
            port=9000,
            control="",
            instance=b"i",
            epoch=epoch,
            condition=Condition.SERVING,
            answers_queries=build is Build.SAYING,
        )
        self.is_alive = True
        self._fleet = fleet
        self._peers = HeartbeatPeers(target=self.record.name)
        self._reports = 0
        self._heartbeats = 0
        self._beat()
        self._find()

    @property
    def endpoint(self) -> Endpoint:
        """The address of the process."""
        return (self.record.ip, self.record.port)

    def settle(self, balancers: Iterable[SimulatedBalancer]) -> None:
        """Know the balancers that heartbeats are sent to, which know this agent."""
        by_name = {balancer.record.name: balancer.record for balancer in balancers}
        for name in top(self.record.name, by_name, count=NAMED_BALANCERS):
            self._peers.update_record(by_name[name])
            ack = HeartbeatAck(balancer=name, version=0, known=True, allowed=True)
            self._peers.record_ack(ack, now=self._fleet.now)

    def leave(self) -> None:
        """Announce that the target is gone, several times, and end."""
        self.record = self.record.with_condition(Condition.GONE)
        for _ in range(3):
            for balancer in self._peers.select(now=self._fleet.now):
                self._send(Announce(record=self.record), balancer.endpoint)
        self.is_alive = False

    def receive(self, frame: object, sender: Endpoint) -> None:
        """Process a frame of a balancer."""
        if not self.is_alive:
            return
        match frame:
            case HeartbeatAck():
                self._peers.record_ack(frame, now=self._fleet.now)
            case RecordQuery() if self.build is not Build.IGNORING:
                self._send(RecordReply(record=self.record, load=self._load()), sender)

    def _load(self) -> LoadReport:
        self._reports += 1
        return LoadReport(number=self._reports, condition=self.record.condition)

    def _send(self, frame: object, to: Endpoint) -> None:
        self._fleet.send(frame, source=self.endpoint, to=to)

    def _beat(self) -> None:
        if not self.is_alive:
            return
        now = self._fleet.now
        self._heartbeats += 1
        if self._heartbeats % ANNOUNCE_EVERY == 0:
            self._peers.require_announcements()
        for balancer in self._peers.select(now=now):
            if self._peers.count_heartbeat(balancer.name, now=now):
                self._send(Announce(record=self.record), balancer.endpoint)
            else:
                self._send(self._heartbeat(), balancer.endpoint)
        self._fleet.after(self._fleet.draw.uniform(*HEARTBEAT_SECONDS), self._beat)

    def _heartbeat(self) -> Heartbeat:
        record = self.record
        return Heartbeat(
            name=record.name,
            epoch=record.epoch,
            change=record.change,
            load=self._load(),
        )

    def _find(self) -> None:
        """Announce the target to all balancers while none has responded."""
        if not self.is_alive:
            return
        if self._peers.is_unacknowledged:
            for endpoint in list(self._fleet.balancers_by_endpoint):
                self._send(Announce(record=self.record), endpoint)
        self._fleet.after(FIND_SECONDS, self._find)


class SimulatedFleet:
    """Balancers and agents in simulated time.

    Args:
        seed: Decides delays, jitter and the choice of peers.
        balancers: How many balancers there are.
        targets: How many targets there are.
        start_gap: Seconds between the starts of two balancers.
        loss: The share of datagrams that are lost.
        data_centres: How many data centres there are. Balancers and targets are in
            them by turns.
        agent_build: The build of the first agents.
        balancer_build: The build of the first balancers.
    """

    def __init__(
        self,
        *,
        seed: int,
        balancers: int,
        targets: int,
        start_gap: float = 0.0,
        loss: float = 0.0,
        data_centres: int = 1,
        agent_build: Build = Build.SAYING,
        balancer_build: Build = Build.SAYING,
    ) -> None:
        self.now = 1000.0
        self.draw = random.Random(seed)
        self._data_centres = data_centres
        self.balancers_by_endpoint: dict[Endpoint, SimulatedBalancer] = {}
        self.agents_by_name: dict[str, SimulatedAgent] = {}
        self._agents_by_endpoint: dict[Endpoint, SimulatedAgent] = {}
        self._cut: frozenset[Endpoint] = frozenset()
        self._isolated: frozenset[Endpoint] = frozenset()
        self._loss = loss
        self._epochs = itertools.count(1)
        self._events: list = []
        self._order = itertools.count()
        for number in range(balancers):
            self.after(number * start_gap, self.start_balancer, number, balancer_build)
        for number in range(targets):
            self.after(0.0, self.start_agent, number, agent_build)

    def data_centre(self, number: int) -> str:
        """Return the data centre of a balancer or an agent."""
        return f"dc-{1 + number % self._data_centres}"

    @property
    def balancers(self) -> list[SimulatedBalancer]:
        """The balancers that run."""
        return list(self.balancers_by_endpoint.values())

    def balancer(self, control: str) -> SimulatedBalancer | None:
        """Return the running balancer with a control address."""
        found = (b for b in self.balancers if b.record.control == control)
        return next(found, None)

    def start_balancer(self, number: int, build: Build = Build.SAYING) -> None:
        """Start a balancer, in place of an earlier process of its name."""
        made = SimulatedBalancer(self, number, epoch=next(self._epochs), build=build)
        self.balancers_by_endpoint[made.endpoint] = made
        for other in self.balancers:
            if other is not made:
                made.membership.peers.learn(other.record)

    def start_agent(self, number: int, build: Build = Build.SAYING) -> SimulatedAgent:
        """Start an agent, in place of an earlier process of its name."""
        earlier = self.agents_by_name.get(f"maps-{number}")
        if earlier is not None:
            earlier.is_alive = False
        made = SimulatedAgent(self, number, epoch=next(self._epochs), build=build)
        self.agents_by_name[made.record.name] = made
        self._agents_by_endpoint[made.endpoint] = made
        return made

    def settle(self) -> None:
        """Let all processes know each other, as after a long time without changes.

        It saves the exchange of tables at the start of a large fleet.
        """
        self.run(0.001)  # What is heard at a start counts as outdated.
        self._events = [event for event in self._events if event[2] != self._deliver]
        heapq.heapify(self._events)
        records = [agent.record for agent in self.agents_by_name.values()]
        for balancer in self.balancers:
            for record in records:
                balancer.membership.table.learn(record, now=self.now)
                balancer.membership.table.record_announcement(record, now=self.now)
        for agent in self.agents_by_name.values():
            agent.settle(self.balancers)

    def lose(self, data_centre: str) -> None:
        """End all processes of a data centre without a word."""
        for agent in self.agents_by_name.values():
            if agent.record.data_centre == data_centre:
                agent.is_alive = False
        for balancer in self.balancers:
            if balancer.record.data_centre == data_centre:
                del self.balancers_by_endpoint[balancer.endpoint]

    def cut_off(self, balancers: Iterable[SimulatedBalancer]) -> None:
        """Cut some balancers off from the other balancers; agents still reach all."""
        self._cut = frozenset(balancer.endpoint for balancer in balancers)

    def isolate(self, data_centre: str) -> None:
        """Cut a data centre off from the others; ``""`` ends it."""
        processes = [*self.balancers, *self.agents_by_name.values()]
        self._isolated = frozenset(
            process.endpoint
            for process in processes
            if process.record.data_centre == data_centre
        )

    def is_connected(self, one: Endpoint, other: Endpoint) -> bool:
        """Return whether datagrams pass between two processes."""
        if (one in self._isolated) != (other in self._isolated):
            return False
        is_between_balancers = {one, other} <= set(self.balancers_by_endpoint)
        return not is_between_balancers or (one in self._cut) == (other in self._cut)

    def after(self, seconds: float, call: Callable, *arguments) -> None:
        """Schedule a call."""
        entry = (self.now + seconds, next(self._order), call, arguments)
        heapq.heappush(self._events, entry)

    def run(self, seconds: float) -> None:
        """Advance time."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        self.now = until

    def send(self, frame: object, *, source: Endpoint, to: Endpoint) -> None:
        """Deliver a datagram after a short delay, unless it is lost."""
        if not self.is_connected(source, to) or self.draw.random() < self._loss:
            return
        self.after(self.draw.uniform(*DELAY_SECONDS), self._deliver, frame, source, to)

    def _deliver(self, frame: object, source: Endpoint, to: Endpoint) -> None:
        receiver = self.balancers_by_endpoint.get(to) or self._agents_by_endpoint.get(
            to
        )
        if receiver is not None:
            receiver.receive(frame, source)

    # What balancers believe

    def offering(self, name: str) -> list[str]:
        """Return the balancers that offer a target and don't suspect it."""
        return [
            balancer.record.name
            for balancer in self.balancers
            if any(
                c.record.name == name and c.serves and not c.suspected
                for c in balancer.membership.table.all_candidates(now=self.now)
            )
        ]

    def listing(self, name: str) -> list[str]:
        """Return the balancers that have a target in their tables."""
        return [
            balancer.record.name
            for balancer in self.balancers
            if balancer.membership.table.record(name) is not None
        ]

    def sent_gossip(self) -> int:
        """Return how many gossip messages the running balancers have sent."""
        return sum(balancer.sent_by_type[Gossip] for balancer in self.balancers)
