"""A client of etcd v3's JSON gateway, over ``aiohttp``.

The gateway does not report a store generation, so all revisions have generation 0.
Operators who restore an etcd cluster from a backup must raise its revisions
(``etcdutl --bump-revision``).
"""

import asyncio
import base64
import json
import random
from collections.abc import AsyncIterator, Callable

import aiohttp
import structlog

from monsoonpier.model.revision import Revision
from monsoonpier.store.backoff import Backoff
from monsoonpier.store.interface import (
    MAX_CHANGES_BYTES,
    Changes,
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

CALL_SECONDS = 2.0  # timeout of one call
# The same for a read of changes, which is repeated at another address.
CHANGES_SECONDS = 0.75
WATCH_SILENCE_SECONDS = 60.0  # a watch without data is restarted after this
MAX_LINE_BYTES = 4 * 1_048_576  # limit of one message in a watch stream
_log = structlog.get_logger("monsoonpier.store.etcd")


class EtcdStore:
    """A `Store` on several etcd addresses; moves to the next one on failure."""

    def __init__(
        self,
        *,
        addresses: tuple[str, ...],
        draw: random.Random,
        call_seconds: float = CALL_SECONDS,
    ) -> None:
        self._addresses = addresses
        self._address_index = 0
        self._draw = draw
        self._call_seconds = call_seconds
        self._session: aiohttp.ClientSession | None = None
        self.calls = 0

    @property
    def generation(self) -> int:
        """Always 0: the gateway does not report one."""
        return 0

    async def read(
        self, key: str, *, prefix: bool = False, may_be_stale: bool = False
    ) -> Snapshot:
        """Return the key, or all keys with that prefix."""
        body = _selector(key, prefix=prefix) | {"serializable": may_be_stale}
        response = await self._call("/v3/kv/range", body)
        values = [_decode_key_value(raw) for raw in response.get("kvs", [])]
        return Snapshot(
            revision=_decode_revision(response["header"]["revision"]),
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
        response = await self._call("/v3/kv/txn", body)
        return TransactionResult(
            succeeded=bool(response.get("succeeded")),
            revision=_decode_revision(response["header"]["revision"]),
        )

    async def grant(self, *, ttl_seconds: int) -> int:
        """Create a lease and return its id."""
        response = await self._call("/v3/lease/grant", {"TTL": str(ttl_seconds)})
        return int(response["ID"])

    async def renew(self, lease: int) -> int:
        """Renew a lease and return its time to live in seconds."""
        response = await self._call("/v3/lease/keepalive", {"ID": str(lease)})
        ttl = int(response.get("result", {}).get("TTL", 0))
        if ttl <= 0:
            raise LeaseNotFoundError("the lease has expired or was revoked")
        return ttl

    async def revoke(self, lease: int) -> None:
        """Revoke a lease, which deletes its keys."""
        await self._call("/v3/lease/revoke", {"ID": str(lease)})

    async def read_changes(
        self,
        key: str,
        *,
        prefix: bool = False,
        after: Revision,
        known_keys: frozenset[str] = frozenset(),
        max_bytes: int = MAX_CHANGES_BYTES,
    ) -> Changes:
        """Return the changes of the key, or of all keys with that prefix.

        Reads the values only if a key was changed. Deletions are reported of
        ``known_keys`` alone.
        """
        body = _selector(key, prefix=prefix) | {"keys_only": True}
        response = await self._call("/v3/kv/range", body, call_seconds=CHANGES_SECONDS)
        revision = _decode_revision(response["header"]["revision"])
        listed = [_decode_key_value(raw) for raw in response.get("kvs", [])]
        missing = known_keys - {listed_value.key for listed_value in listed}
        events = [
            WatchEvent(key=name, value=None, mod_revision=revision)
            for name in sorted(missing)
        ]
        if any(value.mod_revision > after for value in listed):
            found = await self.read(key, prefix=prefix)
            events += [
                WatchEvent(
                    key=value.key, value=value.value, mod_revision=value.mod_revision
                )
                for value in found.values_by_key.values()
                if value.mod_revision > after
            ]
        return Changes(revision=revision, events=tuple(events))

    async def watch(
        self,
        key: str,
        *,
        prefix: bool = False,
        from_revision: Revision,
        on_progress: Callable[[Revision, float], None] | None = None,
        read_max_bytes: Callable[[], int] = lambda: MAX_CHANGES_BYTES,
    ) -> AsyncIterator[WatchEvent]:
        """Yield every change at ``from_revision`` or later; reconnect when needed.

        The gateway reports no progress, so ``on_progress`` isn't called.

        Raises:
            CompactedError: If the store has discarded changes since that
                revision. Callers must read the key again and watch from the
                snapshot's revision.
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
                _log.info(
                    "watch interrupted; reconnecting", key=key, reason=repr(error)
                )
                self._use_next_address()
            await asyncio.sleep(backoff.wait_seconds(draw=self._draw))
            backoff = backoff.after_failure()

    async def close(self) -> None:
        """Close all connections."""
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
        async with self._get_session().post(
            self._url("/v3/watch"), json={"create_request": request}, timeout=timeout
        ) as response:
            if response.status != 200:
                raise StoreError(f"watch failed with HTTP status {response.status}")
            async for line in response.content:
                if not line.strip():
                    continue
                result = _parse_json(line).get("result", {})
                if int(result.get("compact_revision", 0)):
                    raise CompactedError(
                        "the revision to watch from has been compacted"
                    )
                for raw in result.get("events", []):
                    yield _decode_watch_event(raw)

    async def _call(
        self, path: str, body: dict, *, call_seconds: float | None = None
    ) -> dict:
        seconds = min(self._call_seconds, call_seconds or self._call_seconds)
        failure = "no address"
        for _ in self._addresses:
            self.calls += 1
            try:
                return await self._call_once(path, body, seconds=seconds)
            except aiohttp.ClientConnectorError as error:
                # Nothing was sent, so trying another address is safe.
                failure = str(error)
                self._use_next_address()
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                # A write may have taken effect, so it is not retried here.
                self._use_next_address()
                raise StoreError(f"{path}: {error!r}") from error
        raise StoreError(f"the store is unreachable: {failure}")

    async def _call_once(self, path: str, body: dict, *, seconds: float) -> dict:
        timeout = aiohttp.ClientTimeout(total=seconds)
        async with self._get_session().post(
            self._url(path), json=body, timeout=timeout
        ) as response:
            text = await response.read()
            if response.status == 200:
                return _parse_json(text)
            message = _parse_json(text).get("message", "") if text else ""
            if "lease not found" in message:
                raise LeaseNotFoundError(message)
            raise StoreError(f"{path}: HTTP status {response.status} {message}")

    def _get_session(self) -> aiohttp.ClientSession:
        """Return the HTTP session; create it on first use."""
        if self._session is None:
            self._session = aiohttp.ClientSession(read_bufsize=MAX_LINE_BYTES)
        return self._session

    def _url(self, path: str) -> str:
        return self._addresses[self._address_index % len(self._addresses)] + path

    def _use_next_address(self) -> None:
        self._address_index = (self._address_index + 1) % len(self._addresses)


def _parse_json(text: bytes) -> dict:
    try:
        content = json.loads(text)
    except ValueError as error:
        raise StoreError("the store's response is not JSON") from error
    if not isinstance(content, dict):
        raise StoreError("the store's response is not a JSON object")
    return content


def _b64(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


def _selector(key: str, *, prefix: bool) -> dict:
    selector = {"key": _b64(key.encode())}
    if prefix:
        selector["range_end"] = _b64(prefix_end(key))
    return selector


def _decode_revision(raw: str) -> Revision:
    return Revision(number=int(raw))


def _decode_key_value(raw: dict) -> KeyValue:
    return KeyValue(
        key=base64.b64decode(raw["key"]).decode(),
        value=base64.b64decode(raw.get("value", "")),
        mod_revision=_decode_revision(raw["mod_revision"]),
        lease=int(raw.get("lease", 0)),
    )


def _decode_watch_event(raw: dict) -> WatchEvent:
    value = _decode_key_value(raw["kv"])
    deleted = raw.get("type") == "DELETE"
    return WatchEvent(
        key=value.key,
        value=None if deleted else value.value,
        mod_revision=value.mod_revision,
    )
