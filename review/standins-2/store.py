"""The platform's metadata store, sound and without faults."""

import asyncio
import base64
import json
import time

from web import WebServer

PAGE_ITEMS = 500
POLL_SECONDS = 0.01


class StoreStandIn:
    """Items, a revision counter, watches, transactions and leases, in memory."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.revision = 10
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._leases: dict[int, tuple[float, float]] = {}  # end, seconds to live
        self._last_lease = 100
        self._server = WebServer(address, self._handle)

    async def start(self) -> None:
        await self._server.start()

    def stop(self) -> None:
        self._server.stop()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write an item; the operator calls this directly."""
        self.revision += 1
        created = self._items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self._items[key] = item
        self._events.append(item)

    def _remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._events.append(
                {"key": key, "revision": self.revision, "deleted": True}
            )

    def _expire(self) -> None:
        now = time.monotonic()
        for lease, (end, _) in list(self._leases.items()):
            if end <= now:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self._leases[lease]
        for key in [k for k, i in self._items.items() if i["lease"] == lease]:
            self._remove(key)

    async def _handle(self, method, path, query, body) -> tuple[int, dict]:
        self._expire()
        name, _, rest = path.removeprefix("/monsoonpier/").partition("/")
        match name:
            case "kv-key":
                item = self._items.get(query["key"])
                answer = {"current_rev": self.revision}
                return (200, item | answer) if item else (404, answer)
            case "kv-range":
                return self._range(query["prefix"], query.get("after", ""))
            case "kv-watch":
                return await self._watch(query)
            case "kv-txn":
                return self._transact(json.loads(body))
            case "kv-lease":
                return self._grant(json.loads(body)["ttl_ms"])
            case "kv-keep":
                return self._renew(int(rest))
            case "kv-lease-end" if int(rest) in self._leases:
                self._end_lease(int(rest))
                return 200, {}
        return 404, {}

    def _range(self, prefix: str, after: str) -> tuple[int, dict]:
        keys = [k for k in sorted(self._items) if k.startswith(prefix) and k > after]
        return 200, {
            "items": [self._items[k] for k in keys[:PAGE_ITEMS]],
            "truncated": len(keys) > PAGE_ITEMS,
            "current_rev": self.revision,
        }

    async def _watch(self, query: dict) -> tuple[int, dict]:
        after, prefix = int(query["after"]), query["prefix"]
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            self._expire()
            events = [
                e
                for e in self._events
                if e["revision"] > after and e["key"].startswith(prefix)
            ]
            if events or time.monotonic() >= until:
                return 200, {"events": events, "current_rev": self.revision}
            await asyncio.sleep(POLL_SECONDS)

    def _transact(self, body: dict) -> tuple[int, dict]:
        rows = body.get("expect", [])
        puts, removes = body.get("puts", []), body.get("remove", [])
        written = [p["key"] for p in puts] + list(removes)
        if any(key.startswith(("op/", "servers/")) for key in written):
            return 403, {}
        current = {r["key"]: self._items.get(r["key"]) for r in rows}
        for row in rows:
            item = current[row["key"]]
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [i for i in current.values() if i]}
        if any(p.get("lease") and p["lease"] not in self._leases for p in puts):
            return 404, {}
        for put in puts:
            value = base64.b64decode(put["value"], validate=True)
            self.put(put["key"], value, put.get("lease", 0))
        for key in removes:
            self._remove(key)
        return 200, {"revision": self.revision}

    def _grant(self, ttl_ms: int) -> tuple[int, dict]:
        self._last_lease += 1
        seconds = ttl_ms / 1000
        self._leases[self._last_lease] = (time.monotonic() + seconds, seconds)
        return 200, {"lease": self._last_lease, "ttl_ms": ttl_ms}

    def _renew(self, lease: int) -> tuple[int, dict]:
        if lease not in self._leases:
            return 404, {}
        seconds = self._leases[lease][1]
        self._leases[lease] = (time.monotonic() + seconds, seconds)
        return 200, {"ttl_ms": int(seconds * 1000)}
