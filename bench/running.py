"""Measurements on a running deployment: goodput, shutdown, configuration."""

import asyncio
import re
import signal
import statistics
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from monsoonpier.caller import Caller, Done, NotRun, Refused, RetryBudget
from standins.deployment import Deployment
from standins.load import Load, evaluate

__all__ = ["ALL"]

WORK_SECONDS = 0.1
TARGETS = 2
SLOTS = 3
CAPACITY = TARGETS * SLOTS / WORK_SECONDS  # requests a second
GOODPUT_SECONDS = 8.0
CALLERS = 40
DEADLINE_SECONDS = 1.0
CHANGES = 20
IDLE_SECONDS = 10.0
UNLIMITED = RetryBudget(left=1e9, share=0.0)


async def _start(
    net: str, *, balancers: int = 3, maps: int = 3, options: tuple[str, ...] = ()
) -> Deployment:
    deployment = await Deployment(net=net).__aenter__()
    await deployment.start_surroundings()
    await asyncio.gather(
        *(deployment.start_balancer(f"b{n}") for n in range(1, balancers + 1)),
        *(
            deployment.start_pair(f"maps-{n}", "maps", *options)
            for n in range(1, maps + 1)
        ),
    )
    folder = deployment.write_services(cold_start_seconds=0)
    status, out, err = await deployment.run_operator_command(
        "apply", str(folder), "--wait"
    )
    if status:
        raise RuntimeError(out + err)
    await deployment.wait_ready(*(f"maps-{n}" for n in range(1, maps + 1)))
    await asyncio.sleep(1.0)
    return deployment


@dataclass(slots=True, kw_only=True)
class _Counts:
    good: int = 0  # requests with a response
    requests: int = 0
    rejection_ms: list[float] = field(default_factory=list)
    attempts: int = 0


async def _send_at_rate(
    deployment: Deployment, times: float, budget: RetryBudget | None
) -> _Counts:
    """Send requests at a fixed rate, regardless of their outcomes."""
    counts = _Counts()
    callers = [
        Caller(
            deployment.address("maps"), budget=budget or RetryBudget(left=0, share=0)
        )
        for _ in range(CALLERS)
    ]
    await asyncio.gather(*(caller.start() for caller in callers))
    rate = CAPACITY * times
    tasks = []
    started_at = asyncio.get_running_loop().time()
    for number in range(int(rate * GOODPUT_SECONDS)):
        wait = started_at + number / rate - asyncio.get_running_loop().time()
        if wait > 0:
            await asyncio.sleep(wait)
        caller = callers[number % CALLERS]
        tasks.append(asyncio.create_task(_send(caller, number, counts)))
    await asyncio.gather(*tasks)
    for caller in callers:
        counts.attempts += caller.counts["retries"]
        await caller.close()
    counts.attempts += counts.requests
    return counts


async def _send(caller: Caller, number: int, counts: _Counts) -> None:
    started_at = time.monotonic()
    counts.requests += 1
    outcome = await caller.request(
        "top-up", b"maps %d answer=0\n" % number, deadline=DEADLINE_SECONDS
    )
    match outcome:
        case Done():
            counts.good += 1
        case NotRun(reason="overloaded" | "would be late") | Refused():
            counts.rejection_ms.append((time.monotonic() - started_at) * 1000)


async def goodput() -> AsyncIterator[dict]:
    """Yield the rate of responses at 1, 2 and 4 times the slots' capacity."""
    options = (f"--work-seconds={WORK_SECONDS}",)
    deployment = await _start("127.84.1", maps=TARGETS, options=options)
    try:
        for name, budget in (
            ("no retries", None),
            ("retry budget", RetryBudget()),
            ("unlimited retries", UNLIMITED),
        ):
            base = 0.0
            for times in (1, 2, 4):
                counts = await _send_at_rate(deployment, times, budget)
                rate = counts.good / GOODPUT_SECONDS
                base = base or rate
                waits = sorted(counts.rejection_ms) or [0.0]
                yield {
                    "figure": "goodput",
                    "version": name,
                    "times": times,
                    "answers_per_second": round(rate, 1),
                    "share_of_1x": round(rate / base, 3),
                    "tries_per_request": round(counts.attempts / counts.requests, 2),
                    "refusals": len(counts.rejection_ms),
                    "refusal_ms_median": round(statistics.median(waits), 1),
                    "refusal_ms_p99": round(waits[int(len(waits) * 0.99)], 1),
                }
                await asyncio.sleep(1.0)
    finally:
        await deployment.__aexit__()


async def leaving_and_silence() -> AsyncIterator[dict]:
    """Yield gaps in streams when a target drains and a balancer is killed."""
    deployment = await _start("127.84.2")
    try:
        load = Load(maps=deployment.address("maps"), logs=deployment.address("logs"))
        load.start(streams=30, readers=15, uploaders=0, pause=0.03)
        await asyncio.sleep(2.0)
        yield _longest_gap("undisturbed", load)
        drained_at = time.time()
        await deployment.run_operator_command("drain", "maps-1")
        status = await deployment.nodes_by_name["maps-1"].wait()
        await asyncio.sleep(1.0)
        yield _longest_gap("target drained", load)
        late = [
            run["at"] - drained_at
            for run in deployment.runs()
            if run["target"] == "maps-1"
        ]
        deployment.nodes_by_name["b1"].signal(signal.SIGKILL)
        await asyncio.sleep(4.0)
        yield _longest_gap("balancer killed", load)
        await load.stop()
        result = evaluate(load, deployment.runs())
        yield {
            "figure": "leaving_target",
            "last_new_work_seconds": round(max(late), 2),
            "exit_status": status,
            "requests_cut": result.lost_answers,
            "broken_flows": result.broken_flows,
            "requests": result.requests,
        }
    finally:
        await deployment.__aexit__()


def _longest_gap(what: str, load: Load) -> dict:
    longest = max(stream.longest_silence for stream in load.streams)
    for stream in load.streams:
        stream.longest_silence = 0.0
    return {
        "figure": "longest_silence",
        "case": what,
        "item_interval_seconds": 0.2,
        "seconds": round(longest, 2),
    }


async def configuration() -> AsyncIterator[dict]:
    """Yield the time until all balancers use a change, also with a platform outage."""
    deployment = await _start("127.84.3", maps=1)
    try:
        seconds = [await _apply(deployment, n) for n in range(CHANGES)]
        yield _in_force_figure("configuration_in_force", "platform well", seconds)
        seconds = []
        for number in range(5):
            started_at = time.monotonic()
            applying = asyncio.create_task(_apply(deployment, 50 + number))
            await asyncio.sleep(0.35)
            await deployment.set_faults(deployment.platform_url, down=True)
            await asyncio.sleep(1.0)
            await deployment.set_faults(deployment.platform_url, down=False)
            await applying
            seconds.append(time.monotonic() - started_at)
        yield _in_force_figure(
            "configuration_in_force", "platform down 1 s, whole", seconds
        )
    finally:
        await deployment.__aexit__()


async def _apply(deployment: Deployment, number: int) -> float:
    """Apply a change; retry while the platform is down."""
    folder = deployment.write_services(queue_per_slot=number + 1)
    for _ in range(20):
        status, out, _ = await deployment.run_operator_command(
            "apply", str(folder), "--wait"
        )
        if status == 0:
            return float(re.search(r"after ([0-9.]+) s", out)[1])
        await asyncio.sleep(0.2)
    raise RuntimeError("the configuration could not be applied")


def _in_force_figure(figure: str, case: str, seconds: list[float]) -> dict:
    return {
        "figure": figure,
        "case": case,
        "changes": len(seconds),
        "median_seconds": round(statistics.median(seconds), 2),
        "worst_seconds": round(max(seconds), 2),
    }


async def control_bytes() -> AsyncIterator[dict]:
    """Yield the rate of control bytes per process, idle and during a rollout."""
    deployment = await _start("127.84.4", maps=10)
    try:
        names = ["b1", "b2", "b3", "maps-9", "maps-10"]
        before = await _control_bytes_by_name(deployment, names)
        await asyncio.sleep(IDLE_SECONDS)
        after = await _control_bytes_by_name(deployment, names)
        yield _rate_figure("idle", before, after, IDLE_SECONDS)
        started_at = time.monotonic()
        for number in range(1, 6):
            await deployment.start_pair(f"maps-{10 + number}", "maps")
            await deployment.shut_down_pair(f"maps-{number}")
        seconds = time.monotonic() - started_at
        yield _rate_figure(
            "rollout", after, await _control_bytes_by_name(deployment, names), seconds
        )
    finally:
        await deployment.__aexit__()


async def _control_bytes_by_name(
    deployment: Deployment, names: list[str]
) -> dict[str, float]:
    prefix = "monsoonpier_control_bytes_total"
    totals = {}
    for name in names:
        metrics = await deployment.metrics(name)
        totals[name] = sum(v for k, v in metrics.items() if k.startswith(prefix))
    return totals


def _rate_figure(case: str, before: dict, after: dict, seconds: float) -> dict:
    rates = {n: (after[n] - before[n]) / seconds for n in before}
    return {
        "figure": "control_bytes_per_second",
        "case": case,
        "balancers": 3,
        "agents": 10,
        "balancer_worst": round(max(r for n, r in rates.items() if n[0] == "b")),
        "agent_worst": round(max(r for n, r in rates.items() if n[0] == "m")),
    }


ALL = (goodput, leaving_and_silence, configuration, control_bytes)
