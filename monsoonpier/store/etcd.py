"""A client of the JSON gateway that etcd v3 publishes, over ``aiohttp``.

Its answers tell of no generation, so all revisions are of generation 0: who restores
an etcd cluster from a copy raises its revisions (``etcdutl --bump-revision``).
"""

import asyncio
import base64
import json
import random
from collections.abc import AsyncIterator

import aiohttp
import structlog

from monsoonpier.model.revision import Revision
from monsoonpier.store.backoff import Backoff
from monsoonpier.store.interface import (
    CompactedError,
    Compare,
    KeyValue,
    LeaseNotFoundError,
    Put,
    Snapshot,
    StoreError,
    TransactionResult,
    WatchEvent,
    prefix_end,
)

__all__ = ["EtcdStore"]

CALL_SECONDS = 2.0  # the platform answers in milliseconds when it is well
WATCH_SILENCE_SECONDS = 60.0  # a watch that says nothing this long is made anew
MAX_LINE_BYTES = 4 * 1_048_576
_log = structlog.get_logger("monsoonpier.store.etcd")


class EtcdStore:
    """Speaks to the first address that answers; turns to the next on failure."""

    def __init__(
        self,
        *,
        addresses: tuple[str, ...],
        draw: random.Random,
        call_seconds: float = CALL_SECONDS,
    ) -> None:
        self._addresses = addresses
        self._current = 0
        self._draw = draw
        self._call_seconds = call_seconds
        self._session: aiohttp.ClientSession | None = None
        self.calls = 0

    @property
    def generation(self) -> int:
        """Always 0: the gateway doesn't tell."""
        return 0

    async def read(
        self, key: str, *, prefix: bool = False, may_be_old: bool = False
    ) -> Snapshot:
        """Return the key, or all keys that begin with it."""
        question = _selector(key, prefix=prefix) | {"serializable": may_be_old}
        answer = await self._call("/v3/kv/range", question)
        values = [_key_value(raw) for raw in answer.get("kvs", [])]
        return Snapshot(
            revision=_revision(answer["header"]["revision"]),
            values_by_key={value.key: value for value in values},
        )

    async def transact(
        self,
        *,
        compares: tuple[Compare, ...],
        puts: tuple[Put, ...],
        removes: tuple[str, ...] = (),
    ) -> TransactionResult:
        """Write ``puts`` and delete ``removes`` if all of ``compares`` hold."""
        body = {
            "compare": [
                {
                    "key": _b64(compare.key.encode()),
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(compare.mod_revision.number),
                }
                for compare in compares
            ],
            "success": [
                {
                    "request_put": {
                        "key": _b64(put.key.encode()),
                        "value": _b64(put.value),
                        "lease": str(put.lease),
                    }
                }
                for put in puts
            ]
            + [
                {"request_delete_range": {"key": _b64(key.encode())}} for key in removes
            ],
        }
        answer = await self._call("/v3/kv/txn", body)
        return TransactionResult(
            succeeded=bool(answer.get("succeeded")),
            revision=_revision(answer["header"]["revision"]),
        )

    async def grant(self, *, ttl_seconds: int) -> int:
        """Return the id of a new lease."""
        answer = await self._call("/v3/lease/grant", {"TTL": str(ttl_seconds)})
        return int(answer["ID"])

    async def renew(self, lease: int) -> int:
        """Renew a lease and return its seconds to live."""
        answer = await self._call("/v3/lease/keepalive", {"ID": str(lease)})
        ttl = int(answer.get("result", {}).get("TTL", 0))
        if ttl <= 0:
            raise LeaseNotFoundError("the lease has ended")
        return ttl

    async def revoke(self, lease: int) -> None:
        """End a lease; its keys are deleted."""
        await self._call("/v3/lease/revoke", {"ID": str(lease)})

    async def watch(
        self, key: str, *, prefix: bool = False, from_revision: Revision
    ) -> AsyncIterator[WatchEvent]:
        """Yield every change from that revision on, across cuts.

        Raises:
            CompactedError: If changes since then are no longer kept; the
                caller reads the key again and watches from there.
        """
        backoff = Backoff()
        revision = from_revision.number
        while True:
            try:
                async for event in self._watch_once(key, prefix, revision):
                    backoff = backoff.after_success()
                    revision = event.mod_revision.number + 1
                    yield event
            except CompactedError:
                raise
            except (
                StoreError,
                aiohttp.ClientError,
                TimeoutError,
                OSError,
            ) as error:
                _log.info("watch cut", key=key, reason=repr(error))
                self._turn()
            await asyncio.sleep(backoff.wait_seconds(draw=self._draw))
            backoff = backoff.after_failure()

    async def close(self) -> None:
        """Let go of connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _watch_once(
        self, key: str, prefix: bool, revision: int
    ) -> AsyncIterator[WatchEvent]:
        request = _selector(key, prefix=prefix) | {"start_revision": str(revision)}
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=self._call_seconds, sock_read=WATCH_SILENCE_SECONDS
        )
        self.calls += 1
        async with self._client().post(
            self._url("/v3/watch"), json={"create_request": request}, timeout=timeout
        ) as response:
            if response.status != 200:
                raise StoreError(f"watch answered {response.status}")
            async for line in response.content:
                if not line.strip():
                    continue
                result = _parse(line).get("result", {})
                if int(result.get("compact_revision", 0)):
                    raise CompactedError("the watch's revision is compacted")
                for raw in result.get("events", []):
                    yield _watch_event(raw)

    async def _call(self, path: str, body: dict) -> dict:
        failure = "no address"
        for _ in self._addresses:
            self.calls += 1
            try:
                return await self._call_once(path, body)
            except aiohttp.ClientConnectorError as error:
                # Nothing was sent, so another address may be asked.
                failure = str(error)
                self._turn()
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                # A write may have taken effect: only its caller can find out.
                self._turn()
                raise StoreError(f"{path}: {error!r}") from error
        raise StoreError(f"the platform is unreachable: {failure}")

    async def _call_once(self, path: str, body: dict) -> dict:
        timeout = aiohttp.ClientTimeout(total=self._call_seconds)
        async with self._client().post(
            self._url(path), json=body, timeout=timeout
        ) as response:
            text = await response.read()
            if response.status == 200:
                return _parse(text)
            message = _parse(text).get("message", "") if text else ""
            if "lease not found" in message:
                raise LeaseNotFoundError(message)
            raise StoreError(f"{path} answered {response.status} {message}")

    def _client(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(read_bufsize=MAX_LINE_BYTES)
        return self._session

    def _url(self, path: str) -> str:
        return self._addresses[self._current % len(self._addresses)] + path

    def _turn(self) -> None:
        self._current = (self._current + 1) % len(self._addresses)


def _parse(text: bytes) -> dict:
    try:
        content = json.loads(text)
    except ValueError as error:
        raise StoreError("the platform's answer is not JSON") from error
    if not isinstance(content, dict):
        raise StoreError("the platform's answer is not a JSON object")
    return content


def _b64(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


def _selector(key: str, *, prefix: bool) -> dict:
    selector = {"key": _b64(key.encode())}
    if prefix:
        selector["range_end"] = _b64(prefix_end(key))
    return selector


def _revision(raw: str) -> Revision:
    return Revision(number=int(raw))


def _key_value(raw: dict) -> KeyValue:
    return KeyValue(
        key=base64.b64decode(raw["key"]).decode(),
        value=base64.b64decode(raw.get("value", "")),
        mod_revision=_revision(raw["mod_revision"]),
        lease=int(raw.get("lease", 0)),
    )


def _watch_event(raw: dict) -> WatchEvent:
    value = _key_value(raw["kv"])
    deleted = raw.get("type") == "DELETE"
    return WatchEvent(
        key=value.key,
        value=None if deleted else value.value,
        mod_revision=value.mod_revision,
    )
