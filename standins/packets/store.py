"""A test double of the platform's metadata store over HTTP, with faults."""

import asyncio
import base64
import random
import time
from dataclasses import dataclass

from aiohttp import web

from monsoonpier.model.revision import Revision
from monsoonpier.store.interface import Compare, KeyValue, Put, WatchEvent
from standins.store import Store

__all__ = ["StoreFaults", "StoreStandIn"]

PAGE_ITEMS = 500
POLL_SECONDS = 0.01
SILENCE_SECONDS = 30.0  # longer than any client's timeout
PREFIX = "/monsoonpier/"
GENERATION_HEADER = "Store-Era"
OPERATOR_PREFIXES = ("op/", "servers/")


@dataclass(slots=True, kw_only=True)
class StoreFaults:
    """Faults of the store, which may change while it runs.

    Attributes:
        is_down: Every call's connection is aborted.
        is_silent: Calls get no response.
        status: HTTP status with which every call fails, unless 0.
        slow_seconds: Delay of every call.
        lost_share: Share of writes that take effect but get no response.
        is_compacted: Watches from earlier revisions fail with status 410.
    """

    is_down: bool = False
    is_silent: bool = False
    status: int = 0
    slow_seconds: float = 0.0
    lost_share: float = 0.0
    is_compacted: bool = False


class StoreStandIn:
    """Serves a `Store` through the platform's HTTP interface.

    Only tests use the calls under ``/standin/``: ``put`` and ``remove`` write as
    the operator, and ``faults`` sets fields of `StoreFaults`.
    """

    def __init__(self, *, seed: int = 0) -> None:
        self.store = Store()
        self.faults = StoreFaults()
        self.calls_by_name: dict[str, int] = {}
        self._draw = random.Random(seed)

    def application(self) -> web.Application:
        """Return the web application that serves the store."""
        app = web.Application(
            middlewares=[self._apply_faults], client_max_size=8 * 1_048_576
        )
        app.router.add_get(PREFIX + "kv-key", self._key)
        app.router.add_get(PREFIX + "kv-range", self._range)
        app.router.add_get(PREFIX + "kv-watch", self._watch)
        app.router.add_post(PREFIX + "kv-txn", self._txn)
        app.router.add_post(PREFIX + "kv-lease", self._grant_lease)
        app.router.add_post(PREFIX + "kv-keep/{id}", self._renew_lease)
        app.router.add_delete(PREFIX + "kv-lease-end/{id}", self._revoke_lease)
        app.router.add_post("/standin/put", self._operator_put)
        app.router.add_post("/standin/remove", self._operator_remove)
        app.router.add_post("/standin/faults", self._set_faults)
        app.router.add_get("/standin/calls", self._calls)
        return app

    def put(self, key: str, value: bytes) -> int:
        """Write a key with the operator's permissions; return the revision number."""
        puts = (Put(key=key, value=value),)
        return self.store.transact(compares=(), puts=puts, now=_now()).revision.number

    def remove(self, key: str) -> int:
        """Delete a key with the operator's permissions; return the revision number."""
        transact = self.store.transact
        return transact(
            compares=(), puts=(), removes=(key,), now=_now()
        ).revision.number

    @property
    def _headers(self) -> dict[str, str]:
        return {GENERATION_HEADER: str(self.store.generation)}

    @web.middleware
    async def _apply_faults(self, request: web.Request, handler) -> web.StreamResponse:
        if request.path.startswith("/standin/"):
            return await handler(request)
        name = request.path.removeprefix(PREFIX).split("/")[0]
        self.calls_by_name[name] = self.calls_by_name.get(name, 0) + 1
        faults = self.faults
        if faults.is_down:
            return _abort(request)
        if faults.is_silent:
            await asyncio.sleep(SILENCE_SECONDS)
            return _abort(request)
        if faults.status:
            return web.Response(status=faults.status, headers=self._headers)
        await asyncio.sleep(faults.slow_seconds)
        response = await handler(request)
        response.headers.update(self._headers)
        is_write = name in ("kv-txn", "kv-lease")
        if is_write and self._draw.random() < faults.lost_share:
            return _abort(request)
        return response

    async def _operator_put(self, request: web.Request) -> web.Response:
        revision = self.put(request.query["key"], await request.read())
        return web.json_response({"revision": revision})

    async def _operator_remove(self, request: web.Request) -> web.Response:
        revision = self.remove(request.query["key"])
        return web.json_response({"revision": revision})

    async def _set_faults(self, request: web.Request) -> web.Response:
        for name, value in (await request.json()).items():
            setattr(self.faults, name, value)
        return web.json_response({})

    async def _calls(self, request: web.Request) -> web.Response:
        return web.json_response(self.calls_by_name)

    async def _key(self, request: web.Request) -> web.Response:
        key = request.query["key"]
        found = self.store.read(key, now=_now()).values_by_key.get(key)
        if found is None:
            return web.json_response({"current_rev": self.store.number}, status=404)
        return web.json_response(_item(found) | {"current_rev": self.store.number})

    async def _range(self, request: web.Request) -> web.Response:
        prefix = request.query["prefix"]
        after = request.query.get("after", "")
        found = self.store.read("", end=b"\xff", now=_now()).values_by_key
        keys = [key for key in sorted(found) if key.startswith(prefix) and key > after]
        body = {
            "items": [_item(found[key]) for key in keys[:PAGE_ITEMS]],
            "truncated": len(keys) > PAGE_ITEMS,
            "current_rev": self.store.number,
        }
        return web.json_response(body)

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query["prefix"]
        after = int(request.query["after"])
        until = _now() + int(request.query["wait_ms"]) / 1000
        generation = self.store.generation
        while True:
            if generation != self.store.generation:
                return _abort(request)
            if after > self.store.number:
                return web.Response(status=410)
            if self.faults.is_compacted and after < self.store.number:
                return web.Response(status=410)
            if self.faults.is_down:
                return _abort(request)
            self.store.expire(now=_now())
            events = [
                event
                for event in self.store.events("", end=b"\xff", since=after + 1)
                if event.key.startswith(prefix)
            ]
            if events or _now() >= until:
                body = {
                    "events": [_event(event) for event in events],
                    "current_rev": self.store.number,
                }
                return web.json_response(body)
            await asyncio.sleep(POLL_SECONDS)

    async def _txn(self, request: web.Request) -> web.Response:
        body = await request.json()
        compares = tuple(
            Compare(key=row["key"], mod_revision=Revision(number=row["revision"]))
            for row in body.get("expect", [])
        )
        puts = tuple(
            Put(
                key=row["key"],
                value=base64.b64decode(row["value"], validate=True),
                lease=row.get("lease", 0),
            )
            for row in body.get("puts", [])
        )
        removes = tuple(body.get("remove", []))
        written = (*(put.key for put in puts), *removes)
        if any(key.startswith(OPERATOR_PREFIXES) for key in written):
            return web.Response(status=403)
        try:
            result = self.store.transact(
                compares=compares, puts=puts, removes=removes, now=_now()
            )
        except KeyError:
            return web.Response(status=404)
        if result.succeeded:
            return web.json_response({"revision": result.revision.number})
        found = self.store.read("", end=b"\xff", now=_now()).values_by_key
        items = [_item(found[c.key]) for c in compares if c.key in found]
        return web.json_response({"items": items}, status=412)

    async def _grant_lease(self, request: web.Request) -> web.Response:
        ttl_ms = (await request.json())["ttl_ms"]
        lease = self.store.grant(ttl_seconds=ttl_ms // 1000, now=_now())
        return web.json_response({"lease": lease, "ttl_ms": ttl_ms})

    async def _renew_lease(self, request: web.Request) -> web.Response:
        ttl = self.store.renew(int(request.match_info["id"]), now=_now())
        if not ttl:
            return web.Response(status=404)
        return web.json_response({"ttl_ms": ttl * 1000})

    async def _revoke_lease(self, request: web.Request) -> web.Response:
        try:
            self.store.revoke(int(request.match_info["id"]))
        except KeyError:
            return web.Response(status=404)
        return web.json_response({})


def _now() -> float:
    return time.monotonic()


def _abort(request: web.Request) -> web.Response:
    """Abort the connection without a response."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


def _item(value: KeyValue) -> dict:
    return {
        "key": value.key,
        "value": base64.b64encode(value.value).decode(),
        "revision": value.mod_revision.number,
        "created": value.mod_revision.number,
        "lease": value.lease,
    }


def _event(event: WatchEvent) -> dict:
    if event.value is None:
        return {
            "key": event.key,
            "revision": event.mod_revision.number,
            "deleted": True,
        }
    value = KeyValue(key=event.key, value=event.value, mod_revision=event.mod_revision)
    return _item(value)
