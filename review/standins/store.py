"""A stand-in of the platform's store, as PROTOCOL.md describes it. No faults.

Linearizable, one revision counter, leases, watches. ``silence`` is the one
disruption: connections that are open then pass nothing more, without a reset,
while new ones work.
"""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit


async def read_message(reader):
    """Return the start line and the body of one HTTP/1.1 message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    size = 0
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            size = int(value)
    return lines[0], await reader.readexactly(size)


class Store:
    def __init__(self):
        self.revision = 1
        self.items = {}  # key: (value, revision, created, lease)
        self.events = []  # (revision, key, value or None, lease)
        self.leases = {}  # id: (expires, ttl)
        self.calls = []  # (time, caller, what)
        self._next_lease = 1
        self._changed = asyncio.Event()
        self._silent = set()
        self._writers = set()
        self._servers = []

    async def listen(self, ip, port, name):
        """Serve one process at an address of its own, so that calls tell who calls."""
        server = await asyncio.start_server(
            lambda reader, writer: self._serve(reader, writer, name), ip, port
        )
        self._servers.append(server)

    def silence(self):
        """Let all open connections go silent for good; return how many."""
        self._silent = set(self._writers)
        return len(self._silent)

    def put(self, key, value):
        """Write as the operator; return the revision."""
        return self._write([(key, value, 0)], [])

    def _write(self, puts, removes):
        self.revision += 1
        for key, value, lease in puts:
            created = self.items.get(key, (0, 0, self.revision))[2]
            self.items[key] = (value, self.revision, created, lease)
            self.events.append((self.revision, key, value, lease))
        for key in removes:
            if self.items.pop(key, None) is not None:
                self.events.append((self.revision, key, None, 0))
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision

    def _expire(self):
        now = time.monotonic()
        for lease in [n for n, (until, _) in self.leases.items() if until < now]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        del self.leases[lease]
        keys = [key for key, item in self.items.items() if item[3] == lease]
        if keys:
            self._write([], keys)

    async def _serve(self, reader, writer, name):
        self._writers.add(writer)
        try:
            while True:
                line, body = await read_message(reader)
                if writer in self._silent:
                    await asyncio.sleep(3600)
                method, target, _ = line.split(" ")
                status, answer = await self._answer(method, target, body, name)
                if writer in self._silent:
                    await asyncio.sleep(3600)
                data = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass  # also the end of the case
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, method, target, body, caller):
        self._expire()
        parts = urlsplit(target)
        name = parts.path.removeprefix("/monsoonpier/")
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        self.calls.append((time.monotonic(), caller, name.split("/")[0]))
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-range":
            prefix, after = query["prefix"], query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            found = [self._item(key) for key in keys[:500]]
            return 200, {
                "items": found,
                "truncated": len(keys) > 500,
                "current_rev": self.revision,
            }
        if name == "kv-key":
            if query["key"] not in self.items:
                return 404, {"current_rev": self.revision}
            return 200, self._item(query["key"]) | {"current_rev": self.revision}
        if name == "kv-txn":
            return self._transact(json.loads(body))
        if name == "kv-lease":
            ttl = json.loads(body)["ttl_ms"]
            lease, self._next_lease = self._next_lease, self._next_lease + 1
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": lease, "ttl_ms": ttl}
        if name.startswith("kv-keep/"):
            lease = int(name.removeprefix("kv-keep/"))
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttl_ms": ttl}
        if name.startswith("kv-lease-end/"):
            lease = int(name.removeprefix("kv-lease-end/"))
            if lease not in self.leases:
                return 404, {}
            self._end_lease(lease)
            return 200, {}
        return 404, {}

    def _transact(self, body):
        expect = body.get("expect", [])
        for row in expect:
            if self.items.get(row["key"], (0, 0))[1] != row["revision"]:
                keys = [r["key"] for r in expect if r["key"] in self.items]
                return 412, {"items": [self._item(key) for key in keys]}
        puts = [
            (row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
            for row in body.get("puts", [])
        ]
        removes = body.get("remove", [])
        if any(
            k.startswith(("op/", "servers/")) for k in [p[0] for p in puts] + removes
        ):
            return 403, {}
        if any(lease and lease not in self.leases for _, _, lease in puts):
            return 404, {}
        return 200, {"revision": self._write(puts, removes)}

    async def _watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            found = [e for e in self.events if e[0] > after and e[1].startswith(prefix)]
            left = until - time.monotonic()
            if found or left <= 0:
                break
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass
        events = [
            {"key": key, "revision": revision, "deleted": True}
            if value is None
            else {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": revision,
                "created": revision,
                "lease": lease,
            }
            for revision, key, value, lease in found
        ]
        return 200, {"events": events, "current_rev": self.revision}

    def _item(self, key):
        value, revision, created, lease = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "created": created,
            "lease": lease,
        }
