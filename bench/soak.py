"""A randomized soak test: real processes under load, with injected faults.

``python -m bench.soak --seeds 50`` runs random seeds, ``--replay SEED`` repeats one. A
seed determines the plan of faults, but not their exact timing against packets.
"""

import asyncio
import json
import random
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass, field
from typing import Annotated

import uvloop
from cyclopts import App, Parameter, validators

from standins.packets.deployment import PacketDeployment
from standins.packets.load import PacketLoad, PacketLoadResult

__all__ = ["Plan", "Report", "make_plan", "run_seed"]

# Processes at scale 1.
BALANCERS = 3
MAPS = 4
LOGS = 2
MAX_SCALE = 25  # 225 processes, each with an address of a /24 network
RECOVERY_SECONDS = 6.0  # twice the time until a silent target is suspected
DELAY_SECONDS = 0.15  # of a slow link; half the timeout of a heartbeat
LOSS_SHARE = 0.1
MAX_CLOCK_STEP_SECONDS = 60.0
EDITION = 2  # 1: faults of processes and the store; 2: also of links and clocks
CONFIG_SECONDS = 3.0  # time for all balancers to apply a configuration
STALL_SECONDS = 0.3  # delays of this process's loop from which they are reported
STALL_CHECK_SECONDS = 0.1
NETS = 200  # loopback networks, chosen by seed
app = App(name="soak", help=__doc__)


@dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """A fault to inject.

    Attributes:
        at: Its start, in seconds from the start of the plan.
        kind: A key of `_subjects_by_kind`.
        subject: The process or other part that it affects.
        seconds: Its duration.
    """

    at: float
    kind: str
    subject: str
    seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """The faults of a seed; `EDITION` describes the editions."""

    seed: int
    edition: int
    steps: tuple[Step, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """The result of a seed.

    Attributes:
        verdict: Counts of the load.
        broken: Names of the violated guarantees.
        reasons: Counts of failures by their cause.
        timeline: When each fault began and ended; log lines if a guarantee is violated.
    """

    plan: Plan
    verdict: PacketLoadResult
    broken: tuple[str, ...]
    reasons: dict[str, int]
    timeline: tuple[str, ...]


def make_plan(
    seed: int, *, seconds: float, edition: int = EDITION, scale: int = 1
) -> Plan:
    """Return a seed's faults over ``seconds``; they may overlap."""
    draw = random.Random(seed)
    subjects_by_kind = _subjects_by_kind(edition, scale=scale)
    steps = []
    at = 0.0
    while at < seconds:
        kind = draw.choice(list(subjects_by_kind))
        subject = draw.choice(subjects_by_kind[kind])
        duration = draw.uniform(0.2, 3.0)
        steps.append(Step(at=at, kind=kind, subject=subject, seconds=duration))
        at += draw.uniform(0.1, 2.0)
    return Plan(seed=seed, edition=edition, steps=tuple(steps))


def _numbered(prefix: str, count: int) -> list[str]:
    return [f"{prefix}-{n}" for n in range(1, count + 1)]


def _balancers(scale: int) -> list[str]:
    return _numbered("lb", BALANCERS * scale)


def _agents(scale: int) -> list[str]:
    return _numbered("maps", MAPS * scale) + _numbered("logs", LOGS * scale)


def _subjects_by_kind(edition: int, *, scale: int) -> dict[str, list[str]]:
    balancers, agents = _balancers(scale), _agents(scale)
    subjects_by_kind = {
        "kill": balancers + agents,
        "restart": balancers + agents,
        "pause": balancers + agents,
        "crash_target": agents,
        "store_down": ["store"],
        "store_refuses": ["store"],
        "store_slow": ["store"],
        "store_loses": ["store"],
        "configure": ["operator"],
        "kill_all": ["all"],
    }
    if edition == 1:
        return subjects_by_kind
    return subjects_by_kind | {
        "link_silent": balancers + agents,
        "link_one_way": balancers + agents,
        "link_slow": balancers + agents,
        "link_reset": balancers + agents,
        "target_one_way": agents,
        "target_slow": agents,
        "target_lossy": agents,
        "fabric_lossy": ["fabric"],
        "fabric_slow": ["fabric"],
        "clock_step": balancers + agents,
        "hang_up": balancers + agents,
        "store_compacts": ["store"],
    }


@dataclass(kw_only=True)
class _Soak:
    deployment: PacketDeployment
    started_at: float = field(default_factory=time.monotonic)
    timeline: list[str] = field(default_factory=list)
    _busy: set[str] = field(default_factory=set)

    async def inject(self, plan: Plan) -> None:
        """Inject all faults, each at its time."""
        async with asyncio.TaskGroup() as group:
            for step in plan.steps:
                group.create_task(self._inject_step(step))

    async def record_stalls(self) -> None:
        """Record when this process, which runs the store and callers, was held up."""
        while True:
            at, cpu = time.monotonic(), time.process_time()
            await asyncio.sleep(STALL_CHECK_SECONDS)
            late = time.monotonic() - at - STALL_CHECK_SECONDS
            if late >= STALL_SECONDS:
                used = time.process_time() - cpu
                self._log(f"soak held up for {late:.1f} s, {used:.1f} s of them busy")

    async def _inject_step(self, step: Step) -> None:
        await asyncio.sleep(step.at)
        handlers: dict[str, Callable[[Step], Awaitable[None]]] = {
            "kill": self._kill,
            "restart": self._restart,
            "pause": self._pause,
            "crash_target": self._crash_target,
            "configure": self._configure,
            "kill_all": self._kill_all,
            "clock_step": self._restart_with_clock_step,
            "hang_up": self._send_sighup,
        }
        self._log(f"{step.kind} {step.subject} for {step.seconds:.1f} s")
        if step.kind.startswith(("link", "target", "fabric")):
            await self._inject_link_fault(step)
        else:
            await handlers.get(step.kind, self._inject_store_fault)(step)
        self._log(f"{step.kind} {step.subject} ended")

    def _log(self, text: str) -> None:
        self.timeline.append(f"{time.monotonic() - self.started_at:7.2f} {text}")

    def _reserve(self, name: str) -> bool:
        """Reserve a process for a step; return ``False`` if another step uses it."""
        if name in self._busy:
            return False
        self._busy.add(name)
        return True

    async def _kill(self, step: Step) -> None:
        """Kill a process and start it again after the step's duration."""
        if not self._reserve(step.subject):
            return
        node = self.deployment.nodes_by_name[step.subject]
        node.signal(signal.SIGKILL)
        await node.wait()
        await asyncio.sleep(step.seconds)
        await self._start(step.subject)

    async def _restart(self, step: Step) -> None:
        if not self._reserve(step.subject):
            return
        node = self.deployment.nodes_by_name[step.subject]
        node.signal(signal.SIGTERM)
        if step.subject.startswith("lb-"):
            await asyncio.sleep(0.5)  # until the fabric's health check fails
            self.deployment.update_rotation(step.subject, out=True)
        await node.wait()
        await self._start(step.subject)

    async def _start(self, name: str) -> None:
        if name.startswith("lb-"):
            self.deployment.update_rotation(name, out=True)
            await self.deployment.start_balancer(name)
        else:
            await self.deployment.start_agent(name, name.split("-")[0])
        self._busy.discard(name)

    async def _pause(self, step: Step) -> None:
        if not self._reserve(step.subject):
            return
        node = self.deployment.nodes_by_name[step.subject]
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(step.seconds)
        node.signal(signal.SIGCONT)
        self._busy.discard(step.subject)

    async def _crash_target(self, step: Step) -> None:
        if not self._reserve(f"target {step.subject}"):
            return
        await self.deployment.stop_target(step.subject)
        await asyncio.sleep(step.seconds)
        self.deployment.start_target(step.subject, step.subject.split("-")[0])
        self._busy.discard(f"target {step.subject}")

    async def _kill_all(self, step: Step) -> None:
        """Kill all processes and start them again at once, with the store available."""
        names = [n for n in self.deployment.nodes_by_name if self._reserve(n)]
        nodes = [self.deployment.nodes_by_name[name] for name in names]
        for node in nodes:
            node.signal(signal.SIGKILL)
        await asyncio.gather(*(node.wait() for node in nodes))
        if self.deployment.store.faults.is_down or self.deployment.store.faults.status:
            self._log("the store is down too: its faults are cleared")
            _clear_store_faults(self.deployment.store.faults)
        await asyncio.gather(*(self._start(name) for name in names))

    async def _restart_with_clock_step(self, step: Step) -> None:
        """Restart a process with its wall clock set ahead or back."""
        share = (step.seconds - 1.6) / 1.4  # maps the drawn 0.2 to 3.0 to -1 to 1
        offsets_by_name = self.deployment.clock_offsets_by_name
        offsets_by_name[step.subject] = share * MAX_CLOCK_STEP_SECONDS
        await self._kill(step)

    async def _send_sighup(self, step: Step) -> None:
        self.deployment.nodes_by_name[step.subject].signal(signal.SIGHUP)

    async def _inject_link_fault(self, step: Step) -> None:
        links = self.deployment.links_by_name.get(step.subject)
        if step.kind == "link_reset" and links is not None:
            links.store.reset()
            return
        faults = self.deployment.caller.faults
        if links is not None and step.kind.startswith("link"):
            faults = links.store.faults
        elif links is not None:
            faults = links.target_faults
        match step.kind.partition("_")[2]:
            case "silent":
                faults.blocks_to_server = faults.blocks_from_server = True
            case "one_way":
                faults.blocks_from_server = step.kind.startswith("link")
                faults.blocks_to_server = not faults.blocks_from_server
            case "slow":
                faults.delay_seconds = DELAY_SECONDS
            case "lossy":
                faults.loss_share = LOSS_SHARE
        await asyncio.sleep(step.seconds)
        faults.clear()

    async def _configure(self, step: Step) -> None:
        self.deployment.configure(routes=int(step.seconds * 100))

    async def _inject_store_fault(self, step: Step) -> None:
        faults = self.deployment.store.faults
        match step.kind:
            case "store_down":
                faults.is_down = True
            case "store_refuses":
                faults.status = 503
            case "store_slow":
                faults.slow_seconds = 0.5
            case "store_loses":
                faults.lost_share = 0.5
            case "store_compacts":
                faults.is_compacted = True
        await asyncio.sleep(step.seconds)
        _clear_store_faults(faults)


def _clear_store_faults(faults) -> None:
    faults.is_down = False
    faults.status = 0
    faults.slow_seconds = 0.0
    faults.lost_share = 0.0
    faults.is_compacted = False


async def run_seed(
    seed: int, *, seconds: float, edition: int = EDITION, scale: int = 1
) -> Report:
    """Inject a seed's faults into a loaded deployment and check the guarantees.

    Args:
        seed: The seed of the plan and of the load.
        seconds: The duration of faults.
        edition: The edition of the plan.
        scale: Multiplies the numbers of processes. The load stays the same, since
            one process runs all callers and targets.
    """
    plan = make_plan(seed, seconds=seconds, edition=edition, scale=scale)
    net = f"127.90.{seed % NETS}"
    has_proxies = edition > 1
    async with PacketDeployment(
        net=net, seed=seed, has_proxies=has_proxies
    ) as deployment:
        await _start_all(deployment, scale=scale)
        load = PacketLoad(deployment=deployment, seed=seed)
        load.start(readers=8, writers=4, uploaders=2)
        await asyncio.sleep(1.0)
        soak = _Soak(deployment=deployment)
        stalls = asyncio.create_task(soak.record_stalls())
        await soak.inject(plan)
        _clear_store_faults(deployment.store.faults)
        deployment.caller.faults.clear()
        for links in deployment.links_by_name.values():
            links.clear()
        broken = await _check_recovery(deployment, load, scale=scale)
        result = await load.stop()
        stalls.cancel()
        broken += [name for name, count in _violation_counts(result).items() if count]
        if broken:
            soak.timeline += _relevant_log_lines(deployment)
        return Report(
            plan=plan,
            verdict=result,
            broken=tuple(broken),
            reasons=dict(load.reasons),
            timeline=tuple(soak.timeline),
        )


async def _start_all(deployment: PacketDeployment, *, scale: int) -> None:
    """Start all processes, as many at a time as there are at scale 1."""
    deployment.configure()
    balancers, agents = _balancers(scale), _agents(scale)
    for name in balancers:
        deployment.ip(name)
    for group in range(scale):
        first = group * BALANCERS
        await asyncio.gather(
            *(
                deployment.start_balancer(name)
                for name in balancers[first : first + BALANCERS]
            ),
            *(
                deployment.start_pair(name, name.split("-")[0])
                for name in agents[group::scale]
            ),
        )


async def _check_recovery(
    deployment: PacketDeployment, load: PacketLoad, *, scale: int
) -> list[str]:
    """Check that requests succeed after the last fault; return what is violated."""
    await asyncio.sleep(RECOVERY_SECONDS)
    before = load.counts.copy()
    await asyncio.sleep(1.0)
    broken = []
    if load.counts["answered"] - before["answered"] < 20:
        broken.append("does not serve after the last fault")
    if load.counts["failed"] > before["failed"]:
        broken.append("requests fail after the last fault")
    version = deployment.configure()
    await asyncio.sleep(CONFIG_SECONDS)
    for name in _balancers(scale):
        applied = await deployment.metric(name, "monsoonpier_configuration_version")
        if applied != version:
            broken.append(f"{name} has version {applied} instead of {version}")
    return broken


def _violation_counts(result: PacketLoadResult) -> dict[str, int]:
    fields = asdict(result)
    return {k: v for k, v in fields.items() if k not in ("requests", "failed")}


def _relevant_log_lines(deployment: PacketDeployment) -> list[str]:
    """Return the lines of all logs that help to explain a violation."""
    # Without first letters and endings that vary.
    words = ("caller reset", "denie", "target", "state changed", "rror")
    return [
        f"{name}: {line}"
        for name, node in deployment.nodes_by_name.items()
        for line in node.log.read_text().splitlines()
        if any(word in line for word in words) and "flow placed" not in line
    ]


@app.default
def soak(
    *,
    seeds: Annotated[int, Parameter(help="Number of random seeds to run.")] = 10,
    seconds: Annotated[float, Parameter(help="Duration of faults in seconds.")] = 10.0,
    replay: Annotated[int | None, Parameter(help="Repeat this seed only.")] = None,
    edition: Annotated[
        int, Parameter(help="Edition of plans; 1 has no faults of links.")
    ] = EDITION,
    scale: Annotated[
        int,
        Parameter(
            help="Multiplies the numbers of processes.",
            validator=validators.Number(gte=1, lte=MAX_SCALE),
        ),
    ] = 1,
) -> int:
    """Run seeds; print a line for each, and a report if a guarantee is violated."""
    chosen = [replay] if replay is not None else _random_seeds(seeds)
    failed = 0
    for number, seed in enumerate(chosen, start=1):
        report = uvloop.run(
            _run_one(seed, seconds=seconds, edition=edition, scale=scale)
        )
        state = ", ".join(report.broken) or "clean"
        print(
            f"[{number}/{len(chosen)}] seed {seed}: {len(report.plan.steps)} faults,"
            f" {report.verdict.requests} answered, {report.verdict.failed} failed:"
            f" {state}",
            flush=True,
        )
        if report.broken:
            failed += 1
            print(json.dumps(asdict(report), indent=1))
    return 1 if failed else 0


async def _run_one(seed: int, *, seconds: float, edition: int, scale: int) -> Report:
    """Run a seed; SIGTERM ends its processes too."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await run_seed(seed, seconds=seconds, edition=edition, scale=scale)


def _random_seeds(count: int) -> list[int]:
    draw = random.SystemRandom()
    return [draw.randrange(1_000_000) for _ in range(count)]


if __name__ == "__main__":
    sys.exit(app(result_action="return_value"))
