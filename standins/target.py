"""A test double of a target: runs requests, streams items and records runs."""

import asyncio
import json
import math
import time
from dataclasses import dataclass
from pathlib import Path

from aiohttp import web

__all__ = ["TargetStandIn"]

COLD_EXTRA = 3.0  # added to a cold target's slowdown factor at its start
COLD_SECONDS = 5.0  # time constant with which the slowdown decays


@dataclass(slots=True, kw_only=True)
class TargetFaults:
    """Faults of the target, set by ``POST /standin/faults``.

    Attributes:
        slow_factor: Factor on the service time.
        drain: Whether health checks report that it is draining.
        shed_seconds: Rejects requests with this ``Retry-After``, unless 0.
        mute: Whether requests get no response.
        lie_healthy: Whether health checks succeed.
        lie_load: Number of running requests to report instead of the true one.
        cut_answers: How many of the next responses are aborted.
    """

    slow_factor: float = 1.0
    drain: bool = False
    shed_seconds: float = 0.0
    mute: bool = False
    lie_healthy: bool = True
    lie_load: int | None = None
    cut_answers: int = 0


class TargetStandIn:
    """Runs at most ``slots`` requests concurrently; others wait."""

    def __init__(
        self,
        *,
        name: str,
        service: str,
        slots: int = 3,
        work_seconds: float = 0.02,
        item_seconds: float = 0.2,
        cold: bool = False,
        records: Path | None = None,
    ) -> None:
        self._name = name
        self._service = service
        self._slots = asyncio.Semaphore(slots)
        self._work_seconds = work_seconds
        self._item_seconds = item_seconds
        self._started = time.monotonic()
        self._cold = cold
        self._records = records.open("a", buffering=1) if records else None
        self._running = 0
        self._streams = 0
        self.faults = TargetFaults()
        self.runs: list[dict] = []

    def application(self) -> web.Application:
        """Return the web application that serves the target."""
        app = web.Application(client_max_size=128 * 1_048_576)
        app.router.add_post("/work/{kind}", self._work)
        app.router.add_get("/streams/{kind}", self._stream)
        app.router.add_get("/health", self._health)
        app.router.add_get("/load", self._load)
        app.router.add_post("/standin/faults", self._set_faults)
        app.router.add_get("/standin/runs", self._get_runs)
        return app

    async def _work(self, request: web.Request) -> web.Response:
        body = await request.read()
        faults = self.faults
        if faults.shed_seconds:
            retry = str(faults.shed_seconds)
            return web.Response(status=503, headers={"Retry-After": retry})
        if faults.mute:
            await asyncio.sleep(3600)
        tag = body.split(b"\n", 1)[0].decode(errors="replace")
        self._record(request.match_info["kind"], tag)
        self._running += 1
        try:
            async with self._slots:
                await asyncio.sleep(self._service_seconds(request))
        finally:
            self._running -= 1
        if faults.cut_answers:
            faults.cut_answers -= 1
            request.transport.abort()
        return web.Response(body=_response_body(self._service, tag, request))

    def _service_seconds(self, request: web.Request) -> float:
        seconds = self._work_seconds * self.faults.slow_factor
        seconds = float(request.headers.get("X-Work-Seconds", seconds))
        if self._cold:
            age = time.monotonic() - self._started
            seconds *= 1 + COLD_EXTRA * math.exp(-age / COLD_SECONDS)
        return seconds

    def _record(self, kind: str, tag: str) -> None:
        run = {"target": self._name, "service": self._service, "kind": kind}
        run |= {"tag": tag, "at": time.time()}
        self.runs.append(run)
        if self._records is not None:
            self._records.write(json.dumps(run) + "\n")

    async def _stream(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        number = int(request.query.get("after", 0))
        self._streams += 1
        try:
            while True:
                number += 1
                item = {"n": number, "data": f"{self._service} item {number}"}
                await response.write(json.dumps(item).encode() + b"\n")
                await asyncio.sleep(self._item_seconds)
        except ConnectionResetError:
            return response  # the client closed the connection
        finally:
            self._streams -= 1

    async def _health(self, request: web.Request) -> web.Response:
        if self.faults.drain:
            return web.Response(text="draining")
        if not self.faults.lie_healthy:
            return web.Response(status=500, text="ill")
        return web.Response(text="healthy")

    async def _load(self, request: web.Request) -> web.Response:
        running = self.faults.lie_load
        if running is None:
            running = self._running
        return web.json_response({"running": running, "streams": self._streams})

    async def _set_faults(self, request: web.Request) -> web.Response:
        for name, value in (await request.json()).items():
            if not hasattr(self.faults, name):
                return web.json_response({"unknown": name}, status=400)
            setattr(self.faults, name, value)
        return web.json_response({"ok": True})

    async def _get_runs(self, request: web.Request) -> web.Response:
        return web.json_response(self.runs)


def _response_body(service: str, tag: str, request: web.Request) -> bytes:
    """Return a body of the size that the tag asks for by ``answer=BYTES``.

    It begins with the service and the tag, which the caller verifies.
    """
    size = 0
    for word in tag.split():
        if word.startswith("answer="):
            size = int(word.removeprefix("answer="))
    head = f"{service}\n{tag}\n".encode()
    return head + b"x" * max(0, size - len(head))
