"""CONFIG: when the nodes that watch the store are lost, the others act on an old one."""

import asyncio
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from deployment import CannotRun, main  # noqa: E402

SERVICE = "mapa-vivo"
KEPT, DROPPED, ADDED = 1, 2, 3  # numbers of routes
APPLY_S = 3.0  # bounds.config_apply_ms
CALM_S = 2.0  # from the loss to the change; nothing happens to the nodes that are left
WATCHED_S = 24.0  # after the change
FRONTS = ["front-1", "front-2", "front-3", "front-4"]


async def trap(deployment, port, node, route, acked_at):
    """Open a flow directly to a node, on a route just added or just removed."""
    sent_at = time.monotonic()
    flow = await deployment.clients.open(port, deployment.route(route), node=node)
    answer = None
    if flow.state == "open":
        answer = await flow.request(f"t-{port}")
        await flow.close()
    if answer is not None:
        outcome = "run"
    elif flow.state == "reset" and flow.reset_by_system:
        outcome = "refused"
    else:
        outcome = flow.state
    late = sent_at - acked_at
    is_older = outcome == ("run" if route == DROPPED else "refused")
    deployment.record(
        "flow",
        node=node,
        route="dropped" if route == DROPPED else "added",
        sent_after_ack=round(late, 2),
        outcome=outcome,
    )
    return late, node, is_older and late > APPLY_S


async def case(deployment, trouble):
    for name in FRONTS:
        await deployment.start_front(name, wait=False)
    for name in ("side-1", "side-2", "side-3"):
        await deployment.start_side(name, SERVICE)
        await deployment.start_host(name, SERVICE)
    deployment.configure(7, [(*deployment.route(n), SERVICE) for n in (KEPT, DROPPED)])
    for name in FRONTS:
        await deployment.wait_ready(name)
    await asyncio.sleep(10.0)

    # Half of the fronts are lost: those that watch the store.
    now = time.monotonic()
    watching = sorted(
        {
            caller
            for at, caller, what in deployment.store.calls
            if what == "kv-watch" and now - at < 3
        }
    )
    deployment.record("watch the store", nodes=",".join(watching))
    if not watching or len(watching) > len(FRONTS) // 2:
        raise CannotRun(f"{watching} watch the store")
    if trouble:
        for name in watching:
            deployment.signal(name, signal.SIGKILL)
        deployment.record("machines lost for good", nodes=",".join(watching))
    rest = [name for name in FRONTS if name not in watching]
    await asyncio.sleep(CALM_S)

    # Nothing else is disturbed. The operator drops one route and adds another.
    deployment.configure(12, [(*deployment.route(n), SERVICE) for n in (KEPT, ADDED)])
    acked_at = time.monotonic()
    port, tasks = 40_001, []
    while time.monotonic() < acked_at + WATCHED_S:
        for node in rest:
            for route in (DROPPED, ADDED):
                tasks.append(
                    asyncio.create_task(trap(deployment, port, node, route, acked_at))
                )
                port += 1
        await asyncio.sleep(0.5)
    results = await asyncio.gather(*tasks)
    broken = [(round(late, 1), node) for late, node, is_broken in results if is_broken]
    for node in rest:
        times = [late for late, name in broken if name == node]
        deployment.record(
            "summary",
            node=node,
            flows=sum(name == node for _, name, _ in results),
            handled_by_older_version_too_late=len(times),
            last_sent_after_ack=max(times, default=None),
        )
    return not broken


main(case, HERE, zone="sala-centro", region="gt-pacifico")
