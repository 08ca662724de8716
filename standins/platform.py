"""A test double of the platform: part of etcd's JSON gateway, with faults."""

import asyncio
import base64
import json
import time

from aiohttp import web

from monsoonpier.model.revision import Revision
from monsoonpier.store.interface import Compare, KeyValue, Put, WatchEvent
from standins.store import Store

__all__ = ["PlatformStandIn"]

WATCH_POLL_SECONDS = 0.02


class PlatformStandIn:
    """Serves a `Store` over HTTP; ``POST /standin/faults`` sets its faults.

    ``down`` (bool) aborts the connection of every call and watch,
    ``slow_seconds`` delays calls, and ``lose_answers`` (a count) drops the
    responses of transactions that took effect.
    """

    def __init__(self) -> None:
        self.store = Store()
        self.calls_by_path: dict[str, int] = {}
        self._down = False
        self._slow_seconds = 0.0
        self._lose_answers = 0
        self._watches: list[web.Request] = []

    def application(self) -> web.Application:
        """Return the web application that serves the platform."""
        app = web.Application(
            middlewares=[self._apply_faults], client_max_size=8 * 1_048_576
        )
        app.router.add_post("/v3/kv/range", self._range)
        app.router.add_post("/v3/kv/txn", self._txn)
        app.router.add_post("/v3/lease/grant", self._grant)
        app.router.add_post("/v3/lease/keepalive", self._keepalive)
        app.router.add_post("/v3/lease/revoke", self._revoke)
        app.router.add_post("/v3/watch", self._watch)
        app.router.add_post("/standin/faults", self._set_faults)
        app.router.add_get("/standin/calls", self._calls)
        return app

    @web.middleware
    async def _apply_faults(self, request: web.Request, handler) -> web.StreamResponse:
        path = request.path
        if path.startswith("/standin/"):
            return await handler(request)
        self.calls_by_path[path] = self.calls_by_path.get(path, 0) + 1
        if self._down:
            return _abort(request)
        if self._slow_seconds:
            await asyncio.sleep(self._slow_seconds)
        try:
            response = await handler(request)
        except KeyError as error:
            return web.json_response({"code": 5, "message": str(error)}, status=404)
        if path == "/v3/kv/txn" and self._lose_answers:
            self._lose_answers -= 1
            return _abort(request)
        return response

    async def _set_faults(self, request: web.Request) -> web.Response:
        faults = await request.json()
        self._down = bool(faults.get("down", self._down))
        self._slow_seconds = float(faults.get("slow_seconds", self._slow_seconds))
        self._lose_answers = int(faults.get("lose_answers", self._lose_answers))
        if self._down:
            for watch in list(self._watches):
                _abort(watch)
        return web.json_response({"down": self._down})

    async def _calls(self, request: web.Request) -> web.Response:
        return web.json_response(self.calls_by_path)

    async def _range(self, request: web.Request) -> web.Response:
        key, end = _parse_range(await request.json())
        snapshot = self.store.read(key, end=end, now=_now())
        kvs = [_kv_json(value) for value in snapshot.values_by_key.values()]
        return web.json_response(
            {"header": self._header(), "kvs": kvs, "count": str(len(kvs))}
        )

    async def _txn(self, request: web.Request) -> web.Response:
        body = await request.json()
        compares = tuple(
            Compare(
                key=_decode_text(raw["key"]),
                mod_revision=Revision(number=int(raw.get("mod_revision", 0))),
            )
            for raw in body.get("compare", [])
        )
        puts = tuple(
            Put(
                key=_decode_text(raw["request_put"]["key"]),
                value=base64.b64decode(raw["request_put"]["value"]),
                lease=int(raw["request_put"].get("lease", 0)),
            )
            for raw in body.get("success", [])
            if "request_put" in raw
        )
        removes = tuple(
            _decode_text(raw["request_delete_range"]["key"])
            for raw in body.get("success", [])
            if "request_delete_range" in raw
        )
        result = self.store.transact(
            compares=compares, puts=puts, removes=removes, now=_now()
        )
        return web.json_response(
            {"header": self._header(), "succeeded": result.succeeded}
        )

    async def _grant(self, request: web.Request) -> web.Response:
        ttl = int((await request.json())["TTL"])
        lease = self.store.grant(ttl_seconds=ttl, now=_now())
        return web.json_response(
            {"header": self._header(), "ID": str(lease), "TTL": str(ttl)}
        )

    async def _keepalive(self, request: web.Request) -> web.Response:
        lease = int((await request.json())["ID"])
        ttl = self.store.renew(lease, now=_now())
        result = {"header": self._header(), "ID": str(lease), "TTL": str(ttl)}
        return web.json_response({"result": result})

    async def _revoke(self, request: web.Request) -> web.Response:
        self.store.revoke(int((await request.json())["ID"]))
        return web.json_response({"header": self._header()})

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        create = (await request.json())["create_request"]
        key, end = _parse_range(create)
        since = int(create.get("start_revision", 0)) or self.store.number + 1
        response = web.StreamResponse()
        await response.prepare(request)
        self._watches.append(request)
        try:
            await self._write(response, {"header": self._header(), "created": True})
            while not self._down:
                self.store.expire(now=_now())
                events = self.store.events(key, end=end, since=since)
                if events:
                    since = events[-1].mod_revision.number + 1
                    raw = [_event_json(event) for event in events]
                    await self._write(
                        response, {"header": self._header(), "events": raw}
                    )
                await asyncio.sleep(WATCH_POLL_SECONDS)
        except ConnectionResetError:
            pass  # the client closed the connection
        finally:
            self._watches.remove(request)
        return response

    async def _write(self, response: web.StreamResponse, result: dict) -> None:
        await response.write(json.dumps({"result": result}).encode() + b"\n")

    def _header(self) -> dict:
        return {"revision": str(self.store.number)}


def _abort(request: web.Request) -> web.Response:
    """Abort the connection without a response."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


def _now() -> float:
    return time.monotonic()


def _decode_text(raw: str) -> str:
    return base64.b64decode(raw).decode()


def _parse_range(body: dict) -> tuple[str, bytes | None]:
    """Return the key and the range's end in the body of a request."""
    raw = body.get("range_end")
    return _decode_text(body["key"]), base64.b64decode(raw) if raw else None


def _encode_base64(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


def _kv_json(value: KeyValue) -> dict:
    return {
        "key": _encode_base64(value.key.encode()),
        "value": _encode_base64(value.value),
        "mod_revision": str(value.mod_revision.number),
        "lease": str(value.lease),
    }


def _event_json(event: WatchEvent) -> dict:
    kv = {
        "key": _encode_base64(event.key.encode()),
        "value": _encode_base64(event.value or b""),
        "mod_revision": str(event.mod_revision.number),
    }
    return {"type": "DELETE" if event.value is None else "PUT", "kv": kv}
