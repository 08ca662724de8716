"""Demonstrates a deployment under load while all its processes are replaced.

Progress is printed to stderr; the last line of stdout is a JSON object. The exit
status is 1 if a guarantee was violated.
"""

import asyncio
import json
import re
import signal
import sys
import time
from collections import Counter
from dataclasses import asdict

import uvloop

from bench.packet_demo import run_packet_demo
from standins.deployment import Deployment
from standins.load import Load, LoadResult, evaluate

MAPS = 7
LOGS = 3
BALANCERS = 3
STREAMS = 100
READERS = 20
UPLOADERS = 3
STEADY_SECONDS = 8.0
COLD_START_SECONDS = 3.0
SETTLE_SECONDS = 3.0
TARGETS_AT_ONCE = 4
EVACUATED = "dc-2"  # data centre of every second new target
EVACUATED_SECONDS = 3.0
IN_FORCE_SECONDS = 2.0  # two heartbeats, in which agents learn of the evacuation
NET = "127.81.1"
_started_at = time.monotonic()


def _print_progress(text: str) -> None:
    print(
        f"[{time.monotonic() - _started_at:5.1f} s] {text}", file=sys.stderr, flush=True
    )


async def _start(deployment: Deployment) -> None:
    _print_progress("starting the platform and the fabric")
    await deployment.start_surroundings()
    _print_progress(f"{BALANCERS} balancers, {MAPS} map and {LOGS} log targets start")
    names = [(f"maps-{n}", "maps") for n in range(1, MAPS + 1)]
    names += [(f"logs-{n}", "logs") for n in range(1, LOGS + 1)]
    await asyncio.gather(
        *(deployment.start_balancer(f"b{n}") for n in range(1, BALANCERS + 1)),
        *(deployment.start_pair(name, service) for name, service in names),
    )
    await _apply(deployment, "the first configuration")
    await deployment.wait_ready(*(name for name, _ in names))


async def _apply(deployment: Deployment, what: str, **changes) -> float:
    """Apply a configuration; return the seconds until all balancers use it."""
    folder = deployment.write_services(**changes)
    status, out, err = await deployment.run_operator_command(
        "apply", str(folder), "--wait"
    )
    if status:
        raise RuntimeError(f"apply ended with {status}: {err}")
    seconds = float(re.search(r"after ([0-9.]+) s", out)[1])
    _print_progress(f"{what} is in force on all balancers after {seconds} s")
    return seconds


async def _replace_balancers(deployment: Deployment) -> None:
    for n in range(1, BALANCERS + 1):
        new = f"b{n + BALANCERS}"
        await deployment.start_balancer(new)
        await deployment.wait_ready(new)
        status = await deployment.shut_down_balancer(f"b{n}")
        _print_progress(f"balancer b{n} exited with status {status}; {new} replaces it")


async def _replace_targets(deployment: Deployment) -> None:
    pairs = [("maps", n, n + MAPS) for n in range(1, MAPS + 1)]
    pairs += [("logs", n, n + LOGS) for n in range(1, LOGS + 1)]
    gate = asyncio.Semaphore(TARGETS_AT_ONCE)

    async def replace(service: str, old: int, new: int) -> None:
        async with gate:
            data_centre = EVACUATED if new % 2 else "dc-1"
            await deployment.start_pair(
                f"{service}-{new}", service, data_centre=data_centre
            )
            await deployment.wait_ready(f"{service}-{new}")
            status = await deployment.shut_down_pair(f"{service}-{old}")
            _print_progress(
                f"{service}-{old} exited with {status}; {service}-{new} replaces it"
            )

    await asyncio.gather(*(replace(*pair) for pair in pairs))


async def _evacuate(deployment: Deployment) -> int:
    """Evacuate and readmit a data centre; return the runs started there meanwhile."""
    status, out, err = await deployment.run_operator_command(
        "evacuate", EVACUATED, "--wait"
    )
    if status:
        raise RuntimeError(f"evacuate ended with {status}: {err}")
    _print_progress(f"{EVACUATED} is evacuated: {out.splitlines()[-1]}")
    await asyncio.sleep(IN_FORCE_SECONDS)
    since = time.time()
    await asyncio.sleep(EVACUATED_SECONDS)
    until = time.time()
    status, out, err = await deployment.run_operator_command(
        "readmit", EVACUATED, "--wait"
    )
    if status:
        raise RuntimeError(f"readmit ended with {status}: {err}")
    _print_progress(f"{EVACUATED} is readmitted: {out.splitlines()[-1]}")
    started = [run for run in deployment.runs() if since <= run["at"] <= until]
    there = [run for run in started if _is_evacuated(run["target"])]
    _print_progress(f"{len(there)} of {len(started)} runs started there meanwhile")
    return len(there)


def _is_evacuated(target: str) -> bool:
    service, number = target.split("-")
    first_new = {"maps": MAPS, "logs": LOGS}[service] + 1
    return int(number) >= first_new and int(number) % 2 == 1


async def _run() -> bool:
    _print_progress("flows without a token: starting balancers, agents and targets")
    packets = await run_packet_demo(_print_progress)
    return await _run_tokens(packets) and packets["is_clean"]


async def _run_tokens(packets: dict) -> bool:
    async with Deployment(net=NET) as deployment:
        await _start(deployment)
        _print_progress("waiting for the end of the targets' cold start")
        await asyncio.sleep(COLD_START_SECONDS)
        load = Load(maps=deployment.address("maps"), logs=deployment.address("logs"))
        _print_progress(
            f"{STREAMS} streams, {READERS} readers, {UPLOADERS} uploaders start"
        )
        load.start(streams=STREAMS, readers=READERS, uploaders=UPLOADERS)
        since = time.time()
        await asyncio.sleep(STEADY_SECONDS)
        until = time.time()
        _print_progress("all balancers and all targets are replaced at the same time")
        await asyncio.gather(
            _replace_balancers(deployment), _replace_targets(deployment)
        )
        _print_progress(f"balancer b{BALANCERS + 1} is killed")
        deployment.nodes_by_name[f"b{BALANCERS + 1}"].signal(signal.SIGKILL)
        await asyncio.sleep(SETTLE_SECONDS)
        await deployment.shut_down_balancer(f"b{BALANCERS + 1}")
        # The killed balancer's lease has not expired. A new balancer takes its
        # name, so that the next change need not wait for the expiry.
        await deployment.start_balancer(f"b{BALANCERS + 1}")
        await deployment.wait_ready(f"b{BALANCERS + 1}")
        seconds = await _apply(deployment, "a changed configuration", queue_per_slot=6)
        await asyncio.sleep(SETTLE_SECONDS)
        ran_there = await _evacuate(deployment)
        await asyncio.sleep(SETTLE_SECONDS)
        _print_progress("callers finish")
        await load.stop()
        result = evaluate(load, deployment.runs())
        for error in load.errors[:10]:
            _print_progress(f"error: {error}")
        for text, count in load.count_failures().most_common(10):
            _print_progress(f"{count} x {text}")
        _print_progress(
            f"callers' counts: {dict(load.counts)}, {result.not_run} not run"
        )
        _print_progress(f"longest silence on a stream: {result.longest_silence:.2f} s")
        imbalance = _imbalance(deployment.runs(), since, until)
        _print_result(result, imbalance, seconds, ran_there, packets)
        return result.is_clean and not load.errors and not ran_there


def _imbalance(runs: list[dict], since: float, until: float) -> float:
    """Return the maximum over mean of the runs per map target."""
    counts = Counter(
        run["target"]
        for run in runs
        if run["service"] == "maps" and since <= run["at"] <= until
    )
    return max(counts.values()) / (sum(counts.values()) / MAPS) if counts else 0.0


def _print_result(
    result: LoadResult,
    imbalance: float,
    seconds: float,
    ran_there: int,
    packets: dict,
) -> None:
    line = asdict(result)
    del line["not_run"], line["longest_silence"]
    line["imbalance"] = round(imbalance, 3)
    line["config_in_force_seconds"] = seconds
    line["ran_where_evacuated"] = ran_there
    line["without_tokens"] = packets
    print(json.dumps(line))


if __name__ == "__main__":
    sys.exit(0 if uvloop.run(_run()) else 1)
