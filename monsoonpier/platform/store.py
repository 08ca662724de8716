"""A client of the platform's metadata store."""

import base64
import random
import time
from urllib.parse import urlencode

import msgspec
import structlog

from monsoonpier.http import HttpClient, HttpError, Response
from monsoonpier.model.address import Address
from monsoonpier.model.revision import Revision
from monsoonpier.process.metrics import Histogram
from monsoonpier.store.generation import GenerationTracker
from monsoonpier.store.interface import (
    Changes,
    CompactedError,
    Compare,
    KeyValue,
    LeaseNotFoundError,
    Put,
    RestoredError,
    Snapshot,
    StoreError,
    TransactionResult,
    WatchEvent,
)
from monsoonpier.store.keys import CONFIGURATION, EVACUATIONS
from monsoonpier.store.long_poll import WATCH_SECONDS, ChangesRequest, LongPollStore
from monsoonpier.store.paging import Page, read_pages

__all__ = ["PlatformStore"]

CALL_SECONDS = 2.0  # timeout of one call; 500 times the response of a healthy store
WATCH_SLACK_SECONDS = 0.75  # three times the response of a store 60 times slower
_MAX_OVERHEAD_BYTES = 16_384  # of an answer with one large value and some small ones
_PATH = "/monsoonpier/"
# Sent in all responses; increases at each restore from a backup.
_GENERATION_HEADER = "store-era"
_OPERATORS_PREFIX = "op/"  # keys that the operator writes
_OPERATORS_KEY = _OPERATORS_PREFIX + "config"
_EVACUATED_PREFIX = _OPERATORS_PREFIX + "evacuate/"  # followed by a data centre's name
_log = structlog.get_logger("monsoonpier.platform.store")


class _Item(msgspec.Struct, frozen=True, kw_only=True):
    key: str
    revision: int  # of its last change
    value: str = ""
    lease: int = 0
    deleted: bool = False


class _RangeResult(msgspec.Struct, frozen=True, kw_only=True):
    items: list[_Item]
    current_rev: int
    truncated: bool = False


class _Changes(msgspec.Struct, frozen=True, kw_only=True):
    events: list[_Item]
    current_rev: int


class _Written(msgspec.Struct, frozen=True, kw_only=True):
    revision: int


class _LeaseGranted(msgspec.Struct, frozen=True, kw_only=True):
    lease: int


class _LeaseRenewed(msgspec.Struct, frozen=True, kw_only=True):
    ttl_ms: int


class PlatformStore(LongPollStore):
    """A `Store` that makes the platform's HTTP calls and translates keys."""

    def __init__(
        self,
        *,
        address: Address,
        draw: random.Random,
        wait_seconds: float = WATCH_SECONDS,
    ) -> None:
        super().__init__(wait_seconds=wait_seconds, draw=draw)
        self._client = HttpClient(address=address)
        self._generations = GenerationTracker(name=_GENERATION_HEADER)
        self.calls = 0
        self.call_seconds = Histogram(
            name="store_call_seconds", help="Seconds per store call, watches included."
        )

    @property
    def generation(self) -> int:
        """The newest generation seen in a response; 0 before the first one."""
        return self._generations.newest

    async def read(
        self, key: str, *, prefix: bool = False, may_be_stale: bool = False
    ) -> Snapshot:
        """Return the key, or all keys with that prefix."""
        wanted = _platform_key(key, prefix=prefix)

        async def read_page(after: str) -> Page:
            query = {"prefix": wanted} | ({"after": after} if after else {})
            query |= {"allow_stale": 1} if may_be_stale else {}
            response = await self._get("kv-range", query)
            found = _parse(response, _RangeResult)
            revision = self._revision(response, found.current_rev)
            items = [i for i in found.items if prefix or i.key == wanted]
            values = [_decode_item(i, generation=revision.generation) for i in items]
            has_more = found.truncated and found.items
            return Page(
                revision=revision,
                values=tuple(filter(None, values)),
                continue_after=found.items[-1].key if has_more else "",
            )

        return await read_pages(read_page)

    async def transact(
        self,
        *,
        compares: tuple[Compare, ...],
        puts: tuple[Put, ...],
        removes: tuple[str, ...] = (),
    ) -> TransactionResult:
        """Write ``puts`` and delete ``removes`` if all of ``compares`` hold."""
        if stale_keys := self._generations.stale_keys(compares):
            _log.info("stale condition rejected", keys=stale_keys)
            current = Revision(generation=self.generation)
            return TransactionResult(succeeded=False, revision=current)
        body = {
            "expect": [
                {"key": _platform_key(c.key), "revision": c.mod_revision.number}
                for c in compares
            ],
            "puts": [
                {
                    "key": _platform_key(put.key),
                    "value": base64.b64encode(put.value).decode(),
                    "lease": put.lease,
                }
                for put in puts
            ],
            "remove": [_platform_key(key) for key in removes],
        }
        response = await self._post("kv-txn", body)
        if response.status == 412:
            revision = self._revision(response)
            return TransactionResult(succeeded=False, revision=revision)
        if response.status == 404:
            raise LeaseNotFoundError("the lease has expired or was revoked")
        written = _parse(_require_ok(response, "kv-txn"), _Written)
        revision = self._revision(response, written.revision)
        return TransactionResult(succeeded=True, revision=revision)

    async def grant(self, *, ttl_seconds: int) -> int:
        """Create a lease and return its id."""
        response = await self._post("kv-lease", {"ttl_ms": ttl_seconds * 1000})
        return _parse(_require_ok(response, "kv-lease"), _LeaseGranted).lease

    async def renew(self, lease: int) -> int:
        """Renew a lease and return its time to live in seconds."""
        response = await self._post(f"kv-keep/{lease}", {})
        if response.status == 404:
            raise LeaseNotFoundError("the lease has expired or was revoked")
        return _parse(_require_ok(response, "kv-keep"), _LeaseRenewed).ttl_ms // 1000

    async def revoke(self, lease: int) -> None:
        """Revoke a lease, which deletes its keys."""
        path = f"{_PATH}kv-lease-end/{lease}"
        _require_ok(await self._call("DELETE", path), "kv-lease-end")

    async def close(self) -> None:
        """Close the idle connections."""
        self._client.close()

    async def _poll_changes(self, request: ChangesRequest) -> Changes:
        wanted = _platform_key(request.key, prefix=request.prefix)
        wait_ms = int(request.wait_seconds * 1000)
        query = {"prefix": wanted, "after": request.after.number, "wait_ms": wait_ms}
        response = await self._call(
            "GET",
            f"{_PATH}kv-watch?{urlencode(query)}",
            timeout=request.wait_seconds + WATCH_SLACK_SECONDS,
            max_bytes=request.max_bytes * 4 // 3 + _MAX_OVERHEAD_BYTES,  # as base64
        )
        present = self._revision(response).generation
        if present != request.after.generation:
            raise RestoredError(f"the store was restored; its generation is {present}")
        if response.status == 410:
            raise CompactedError("the revision to watch from has been compacted")
        found = _parse(_require_ok(response, "kv-watch"), _Changes)
        items = [i for i in found.events if request.prefix or i.key == wanted]
        events = [_decode_event(item, generation=present) for item in items]
        return Changes(
            revision=Revision(generation=present, number=found.current_rev),
            events=tuple(filter(None, events)),
        )

    async def _get(self, name: str, query: dict) -> Response:
        """Make a GET call and require status 200."""
        response = await self._call("GET", f"{_PATH}{name}?{urlencode(query)}")
        return _require_ok(response, name)

    async def _post(self, name: str, body: dict) -> Response:
        """Make a POST call and return the response, whatever its status."""
        return await self._call("POST", _PATH + name, body=msgspec.json.encode(body))

    async def _call(
        self, method: str, path: str, *, timeout: float = CALL_SECONDS, **options
    ) -> Response:
        """Make one HTTP call; record its time and the store's generation."""
        self.calls += 1
        began = time.monotonic()
        try:
            response = await self._client.call(method, path, timeout=timeout, **options)
        except HttpError as error:
            raise StoreError(str(error), was_partial=error.was_partial) from error
        finally:
            self.call_seconds.observe(time.monotonic() - began)
        self._generations.update(response.headers_by_name)
        return response

    def _revision(self, response: Response, number: int = 0) -> Revision:
        """Return the revision ``number`` in the generation of a response."""
        return self._generations.revision(response.headers_by_name, number)


def _platform_key(key: str, *, prefix: bool = False) -> str:
    """Return the platform's key for a key of `monsoonpier.store.keys`.

    As a prefix, the configuration's key covers the evacuations too.
    """
    if key == CONFIGURATION:
        return _OPERATORS_PREFIX if prefix else _OPERATORS_KEY
    if key.startswith(EVACUATIONS):
        return _EVACUATED_PREFIX + key.removeprefix(EVACUATIONS)
    return key.removeprefix("/")


def _internal_key(key: str) -> str:
    """Return the key that `_platform_key` translates to ``key``."""
    if key == _OPERATORS_KEY:
        return CONFIGURATION
    if key.startswith(_EVACUATED_PREFIX):
        return EVACUATIONS + key.removeprefix(_EVACUATED_PREFIX)
    return f"/{key}"


def _require_ok(response: Response, name: str) -> Response:
    if response.status != 200:
        raise StoreError(f"{name}: HTTP status {response.status}")
    return response


def _parse(response: Response, kind: type):
    try:
        return msgspec.json.decode(response.body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise StoreError(f"the store's response is malformed: {error}") from error


def _decode_value(item: _Item) -> bytes | None:
    """Return an item's decoded value, or ``None`` if it can't be decoded."""
    if item.key.startswith(_EVACUATED_PREFIX):
        return b""  # An evacuation is in effect while its key exists.
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError as error:
        _log.warning("undecodable item ignored", key=item.key, reason=str(error))
        return None


def _decode_item(item: _Item, *, generation: int) -> KeyValue | None:
    value = _decode_value(item)
    if value is None:
        return None
    return KeyValue(
        key=_internal_key(item.key),
        value=value,
        mod_revision=Revision(generation=generation, number=item.revision),
        lease=item.lease,
    )


def _decode_event(item: _Item, *, generation: int) -> WatchEvent | None:
    value = None if item.deleted else _decode_value(item)
    if value is None and not item.deleted:
        return None
    return WatchEvent(
        key=_internal_key(item.key),
        value=value,
        mod_revision=Revision(generation=generation, number=item.revision),
    )
