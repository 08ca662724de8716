"""Compares steering and placement with simpler policies, in simulations."""

import heapq
import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from hashlib import blake2b

from monsoonpier.balancer.target_choice import Candidate, Chosen, choose_target
from monsoonpier.balancer.tokens.decision import Balancer
from monsoonpier.model.keys import Key, KeyRing
from monsoonpier.model.service import Preference
from monsoonpier.model.target import Condition, LoadReport, TargetRecord
from monsoonpier.model.token import FlowToken, seal_token
from monsoonpier.wire.datagrams import Ping, caller_codec
from monsoonpier.wire.frames import BalancerRecord

__all__ = ["broken_flows", "imbalance"]

KEYS = KeyRing(keys=(Key(id=1, secret=b"k" * 32),))
FLOWS = 2_000
TARGETS = 7
BALANCERS = 3
SLOTS = 3
WORK_SECONDS = 0.02
RUN_SECONDS = 40.0
COLD_SECONDS = 10.0
HEARTBEAT_SECONDS = 1.0
UTILISATION = 0.7
SEEDS = (1, 2)


def _record(number: int) -> TargetRecord:
    return TargetRecord(
        name=f"maps-{number}",
        service="maps",
        data_centre="dc-1",
        ip=f"10.1.0.{number}",
        port=9000,
        control=f"10.1.0.{number}:9001",
        instance=bytes([number]) * 8,
        epoch=1,
        slots=SLOTS,
        connections=2_000,
        condition=Condition.SERVING,
    )


def _balancer(number: int) -> Balancer:
    own = BalancerRecord(
        name=f"b{number}",
        data_centre="dc-1",
        ip=f"10.2.0.{number}",
        port=9000,
        control=f"10.2.0.{number}:9001",
        epoch=1,
    )
    return Balancer(own=own, keys=KEYS)


def _choose_by_hash(flow: bytes, targets: list[int]) -> int:
    """Steer by a hash of the flow over a balancer's own list of targets."""
    number = int.from_bytes(blake2b(flow, digest_size=8).digest(), "big")
    return targets[number % len(targets)]


def broken_flows() -> Iterator[dict]:
    """Yield how many flows have misdirected packets in a rolling replacement.

    Each step adds a target, removes one and replaces a balancer. Each balancer's
    list is stale for a step with probability one half. Flows of a removed target
    move to another one beforehand in both versions, so only packets that reach
    the wrong target count.
    """
    draw = random.Random(11)
    targets = list(range(1, TARGETS + 1))
    tables = [list(targets) for _ in range(BALANCERS)]
    balancers = [_balancer(n) for n in range(BALANCERS)]
    flows = [draw.randbytes(16) for _ in range(FLOWS)]
    owner = {flow: _choose_by_hash(flow, targets) for flow in flows}
    broken: dict[str, set] = {"product": set(), "naive hash": set()}
    for step in range(TARGETS):
        targets = [*targets[1:], TARGETS + 1 + step]
        balancers[step % BALANCERS] = _balancer(step % BALANCERS)
        tables = [targets if draw.random() < 0.5 else table for table in tables]
        tables[step % BALANCERS] = targets
        for flow in flows:
            if owner[flow] not in targets:
                # The flow moves before its target is removed.
                owner[flow] = draw.choice(targets)
                broken["naive hash"].discard(flow)
            balancer_index = draw.randrange(BALANCERS)
            if _choose_by_hash(flow, tables[balancer_index]) != owner[flow]:
                broken["naive hash"].add(flow)
            if (
                _choose_by_token(balancers[balancer_index], flow, owner[flow], draw)
                != owner[flow]
            ):
                broken["product"].add(flow)
    for version, lost in broken.items():
        yield {
            "figure": "broken_flows",
            "version": version,
            "flows": FLOWS,
            "value": len(lost),
        }


def _choose_by_token(
    balancer: Balancer, flow: bytes, target: int, draw: random.Random
) -> int:
    """Return the target to which monsoonpier steers a packet, 0 if it is dropped."""
    token = FlowToken(
        service="maps", ip=f"10.1.0.{target}", port=9000, instance=bytes([target]) * 8
    )
    sealed = seal_token(token, flow=flow, keys=KEYS)
    packet = caller_codec.encode(Ping(flow=flow, token=sealed, acked=1))
    action = balancer.from_caller(
        packet, caller=("10.9.9.9", 5), service="maps", now=1.0, draw=draw
    )
    return int(action.endpoint[0].rsplit(".", 1)[1]) if action else 0


@dataclass(slots=True, kw_only=True)
class _Target:
    """A simulated target with slots and a queue."""

    record: TargetRecord
    speed: float = 1.0
    cold: bool = False
    running: int = 0
    queue: list[float] = field(default_factory=list)
    flows: int = 0
    done: int = 0
    area: float = 0.0  # work in progress, integrated over time
    changed_at: float = 0.0
    mean_service_seconds: float = 0.0
    reports: int = 0

    def update_area(self, now: float) -> None:
        """Integrate the work in progress up to ``now``."""
        self.area += (self.running + len(self.queue)) * (now - self.changed_at)
        self.changed_at = now

    def capacity(self) -> float:
        """Return the capacity relative to a normal target, over the whole run."""
        if self.cold:
            return 1 - 0.75 * COLD_SECONDS / 2 / RUN_SECONDS
        return self.speed

    def draw_service_seconds(self, now: float, draw: random.Random) -> float:
        """Draw the service time of a run that starts now."""
        speed = self.speed
        if self.cold:
            speed = min(1.0, 0.25 + 0.75 * now / COLD_SECONDS)
        return draw.expovariate(1 / WORK_SECONDS) / speed

    def load_report(self, now: float) -> LoadReport:
        """Return the load report that its agent would send."""
        self.reports += 1
        age = now if self.cold else 60.0
        return LoadReport(
            number=self.reports,
            in_flight=self.running,
            queued=len(self.queue),
            flows=self.flows,
            service_ms=int(self.mean_service_seconds * 1000),
            age_ms=int(age * 1000),
            condition=Condition.SERVING,
        )


class _Simulation:
    """A simulation with open arrivals, a flow per request and several balancers."""

    def __init__(self, *, policy: str, scenario: str, seed: int) -> None:
        self._policy = policy
        self._draw = random.Random(seed)
        self._events: list = []
        self._order = itertools.count()
        self._turns = [itertools.count(n) for n in range(BALANCERS)]
        self.targets = [_Target(record=_record(n)) for n in range(1, TARGETS + 1)]
        if scenario == "one slow":
            self.targets[0].speed = 1 / 3
        if scenario == "one cold":
            self.targets[0].cold = True
        self._views = [
            {t.record.name: (t.load_report(0.0), 0) for t in self.targets}
            for _ in range(BALANCERS)
        ]

    def run(self) -> None:
        """Run the simulation."""
        rate = UTILISATION * SLOTS / WORK_SECONDS * sum(t.speed for t in self.targets)
        self._push(0.0, self._arrive, rate)
        for target in self.targets:
            self._push(self._draw.random(), self._send_heartbeat, target)
        while self._events and self._events[0][0] < RUN_SECONDS:
            now, _, call, argument = heapq.heappop(self._events)
            call(argument, now)
        for target in self.targets:
            target.update_area(RUN_SECONDS)

    def _push(self, when: float, call, argument) -> None:
        heapq.heappush(self._events, (when, next(self._order), call, argument))

    def _arrive(self, rate: float, now: float) -> None:
        self._push(now + self._draw.expovariate(rate), self._arrive, rate)
        balancer_index = self._draw.randrange(BALANCERS)
        target = self._choose_target(balancer_index)
        load, sent = self._views[balancer_index][target.record.name]
        self._views[balancer_index][target.record.name] = (load, sent + 1)
        target.update_area(now)
        target.flows += 1
        target.queue.append(now)
        self._start_next(target, balancer_index, now)

    def _start_next(self, target: _Target, balancer_index: int, now: float) -> None:
        if target.queue and target.running < SLOTS:
            target.queue.pop(0)
            target.running += 1
            seconds = target.draw_service_seconds(now, self._draw)
            self._push(now + seconds, self._finish, (target, balancer_index, seconds))

    def _finish(self, work, now: float) -> None:
        target, balancer_index, seconds = work
        target.update_area(now)
        target.running -= 1
        target.flows -= 1
        target.done += 1
        target.mean_service_seconds += (
            0.2 * (seconds - target.mean_service_seconds)
            if target.mean_service_seconds
            else seconds
        )
        # The reply carries a load report to the balancer that forwards it.
        self._views[balancer_index][target.record.name] = (target.load_report(now), 0)
        self._start_next(target, self._draw.randrange(BALANCERS), now)

    def _send_heartbeat(self, target: _Target, now: float) -> None:
        for view in self._views:
            view[target.record.name] = (target.load_report(now), 0)
        self._push(now + HEARTBEAT_SECONDS, self._send_heartbeat, target)

    def _choose_target(self, balancer_index: int) -> _Target:
        match self._policy:
            case "random":
                return self._draw.choice(self.targets)
            case "round robin":
                return self.targets[next(self._turns[balancer_index]) % TARGETS]
            case "full knowledge":
                return min(self.targets, key=self._true_wait)
        view = self._views[balancer_index]
        candidates = [
            Candidate(
                record=t.record,
                load=view[t.record.name][0],
                sent_since=view[t.record.name][1],
            )
            for t in self.targets
        ]
        choice = choose_target(
            candidates,
            data_centre="dc-1",
            prefer=Preference.ANY,
            cold_start_seconds=COLD_SECONDS,
            draw=self._draw,
        )
        assert isinstance(choice, Chosen)
        return self.targets[int(choice.record.name.split("-")[1]) - 1]

    def _true_wait(self, target: _Target) -> tuple[float, float]:
        """Return the target's work over its speed, and a random tie-breaker."""
        wait = (target.running + len(target.queue) + 1) / target.speed
        return wait, self._draw.random()


def imbalance() -> Iterator[dict]:
    """Yield maximum over mean of work in progress and of work done per capacity."""
    policies = ("random", "round robin", "product", "full knowledge")
    for scenario in ("equal", "one slow", "one cold"):
        for policy in policies:
            progress, completed = [], []
            for seed in SEEDS:
                simulation = _Simulation(policy=policy, scenario=scenario, seed=seed)
                simulation.run()
                targets = simulation.targets
                progress.append(_max_over_mean([t.area for t in targets]))
                completed.append(
                    _max_over_mean([t.done / t.capacity() for t in targets])
                )
            yield {
                "figure": "imbalance",
                "scenario": scenario,
                "version": policy,
                "work_in_progress": round(sum(progress) / len(SEEDS), 3),
                "completed_per_capacity": round(sum(completed) / len(SEEDS), 3),
            }


def _max_over_mean(values: list[float]) -> float:
    return max(values) / (sum(values) / len(values))
