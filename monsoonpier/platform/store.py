"""The platform's metadata store as an implementation of `Store`."""

import base64
import random
import time
from collections.abc import AsyncIterator
from urllib.parse import urlencode

import msgspec
import structlog

from monsoonpier.http import HttpClient, HttpError, Response
from monsoonpier.model.address import Address
from monsoonpier.model.revision import Revision
from monsoonpier.process.readings import Histogram
from monsoonpier.store.generation import GenerationTracker
from monsoonpier.store.interface import (
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
from monsoonpier.store.long_poll import PollResult, watch_by_polling
from monsoonpier.store.paging import Page, read_pages

__all__ = ["PlatformStore"]

CALL_SECONDS = 2.0  # 500 times an answer of the store when it is well
# A watch whose answer was lost hangs without a word; a configuration must be in force
# 3 s after that. At the size aimed at twelve balancers watch: 6 calls a second.
WATCH_SECONDS = 2.0
WATCH_SLACK_SECONDS = 0.75  # three times the answer of a store 60 times slower
_PATH = "/monsoonpier/"
_GENERATION_HEADER = "store-era"  # in all answers; it rises at each return from a copy
_OPERATORS_PREFIX = "op/"  # what the operator writes
_OPERATORS_KEY = _OPERATORS_PREFIX + "config"
_EVACUATED_PREFIX = _OPERATORS_PREFIX + "evacuate/"  # then a data centre's name
_log = structlog.get_logger("monsoonpier.platform.store")


class _Item(msgspec.Struct, frozen=True, kw_only=True):
    key: str
    revision: int  # of its last change
    value: str = ""
    lease: int = 0
    deleted: bool = False


class _Found(msgspec.Struct, frozen=True, kw_only=True):
    items: list[_Item]
    current_rev: int
    truncated: bool = False


class _Watched(msgspec.Struct, frozen=True, kw_only=True):
    events: list[_Item]
    current_rev: int


class _Written(msgspec.Struct, frozen=True, kw_only=True):
    revision: int


class _Granted(msgspec.Struct, frozen=True, kw_only=True):
    lease: int


class _Kept(msgspec.Struct, frozen=True, kw_only=True):
    ttl_ms: int


class PlatformStore:
    """Speaks the store's HTTP calls; keys are translated at this boundary."""

    def __init__(self, *, address: Address, draw: random.Random) -> None:
        self._client = HttpClient(address=address)
        self._draw = draw
        self._generations = GenerationTracker(name=_GENERATION_HEADER)
        self.calls = 0
        self.call_seconds = Histogram(
            name="store_call_seconds", help="Calls to the store, watches too."
        )

    @property
    def generation(self) -> int:
        """The newest generation that an answer told of; 0 before the first one."""
        return self._generations.newest

    async def read(
        self, key: str, *, prefix: bool = False, may_be_old: bool = False
    ) -> Snapshot:
        """Return the key, or all keys that begin with it."""
        wanted = _outer(key, prefix=prefix)

        async def read_page(after: str) -> Page:
            query = {"prefix": wanted} | ({"after": after} if after else {})
            query |= {"allow_stale": 1} if may_be_old else {}
            response = await self._get("kv-range", query)
            found = _parse(response, _Found)
            revision = self._revision(response, found.current_rev)
            items = [i for i in found.items if prefix or i.key == wanted]
            values = [_key_value(i, generation=revision.generation) for i in items]
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
        if outdated := self._generations.stale_keys(compares):
            _log.info("condition of an earlier generation", keys=outdated)
            ended = Revision(generation=self.generation)
            return TransactionResult(succeeded=False, revision=ended)
        body = {
            "expect": [
                {"key": _outer(c.key), "revision": c.mod_revision.number}
                for c in compares
            ],
            "puts": [
                {
                    "key": _outer(put.key),
                    "value": base64.b64encode(put.value).decode(),
                    "lease": put.lease,
                }
                for put in puts
            ],
            "remove": [_outer(key) for key in removes],
        }
        response = await self._post("kv-txn", body)
        if response.status == 412:
            revision = self._revision(response)
            return TransactionResult(succeeded=False, revision=revision)
        if response.status == 404:
            raise LeaseNotFoundError("the lease has ended")
        written = _parse(_checked(response, "kv-txn"), _Written)
        revision = self._revision(response, written.revision)
        return TransactionResult(succeeded=True, revision=revision)

    async def grant(self, *, ttl_seconds: int) -> int:
        """Return the id of a new lease."""
        response = await self._post("kv-lease", {"ttl_ms": ttl_seconds * 1000})
        return _parse(_checked(response, "kv-lease"), _Granted).lease

    async def renew(self, lease: int) -> int:
        """Renew a lease and return its seconds to live."""
        response = await self._post(f"kv-keep/{lease}", {})
        if response.status == 404:
            raise LeaseNotFoundError("the lease has ended")
        return _parse(_checked(response, "kv-keep"), _Kept).ttl_ms // 1000

    async def revoke(self, lease: int) -> None:
        """End a lease; its keys are deleted."""
        path = f"{_PATH}kv-lease-end/{lease}"
        _checked(await self._call("DELETE", path), "kv-lease-end")

    async def watch(
        self, key: str, *, prefix: bool = False, from_revision: Revision
    ) -> AsyncIterator[WatchEvent]:
        """Yield every change from that revision on, across cuts.

        Raises:
            CompactedError: If changes since then are no longer kept.
            RestoredError: If the store is of another generation now, even if its
                count has passed that revision again and it answers.
        """
        wanted = _outer(key, prefix=prefix)
        generation = from_revision.generation

        async def poll(after: int) -> PollResult:
            watched = await self._watch_once(wanted, after, generation)
            items = [i for i in watched.events if prefix or i.key == wanted]
            events = [_watch_event(item, generation=generation) for item in items]
            return PollResult(
                events=tuple(filter(None, events)), number=watched.current_rev
            )

        after = from_revision.number - 1
        async for event in watch_by_polling(
            poll, key=wanted, after=after, draw=self._draw
        ):
            yield event

    async def close(self) -> None:
        """Let go of connections."""
        self._client.close()

    async def _watch_once(self, wanted: str, after: int, generation: int) -> _Watched:
        query = {
            "prefix": wanted,
            "after": after,
            "wait_ms": int(WATCH_SECONDS * 1000),
        }
        path = f"{_PATH}kv-watch?{urlencode(query)}"
        response = await self._call(
            "GET", path, timeout=WATCH_SECONDS + WATCH_SLACK_SECONDS
        )
        present = self._revision(response).generation
        if present != generation:
            raise RestoredError(f"the store's generation is {present}")
        if response.status == 410:
            raise CompactedError("the watch's revision is compacted")
        return _parse(_checked(response, "kv-watch"), _Watched)

    async def _get(self, call: str, query: dict) -> Response:
        response = await self._call("GET", f"{_PATH}{call}?{urlencode(query)}")
        return _checked(response, call)

    async def _post(self, call: str, body: dict) -> Response:
        return await self._call("POST", _PATH + call, body=msgspec.json.encode(body))

    async def _call(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        timeout: float = CALL_SECONDS,
    ) -> Response:
        self.calls += 1
        began = time.monotonic()
        try:
            response = await self._client.call(method, path, body=body, timeout=timeout)
        except HttpError as error:
            raise StoreError(str(error)) from error
        finally:
            self.call_seconds.observe(time.monotonic() - began)
        self._generations.update(response.headers_by_name)
        return response

    def _revision(self, response: Response, number: int = 0) -> Revision:
        return self._generations.revision(response.headers_by_name, number)


def _outer(key: str, *, prefix: bool = False) -> str:
    """Return the platform's spelling: the operator's keys are not ours to name."""
    if key == CONFIGURATION:
        return _OPERATORS_PREFIX if prefix else _OPERATORS_KEY
    if key.startswith(EVACUATIONS):
        return _EVACUATED_PREFIX + key.removeprefix(EVACUATIONS)
    return key.removeprefix("/")


def _inner(key: str) -> str:
    if key == _OPERATORS_KEY:
        return CONFIGURATION
    if key.startswith(_EVACUATED_PREFIX):
        return EVACUATIONS + key.removeprefix(_EVACUATED_PREFIX)
    return f"/{key}"


def _checked(response: Response, call: str) -> Response:
    if response.status != 200:
        raise StoreError(f"{call} answered {response.status}")
    return response


def _parse(response: Response, kind: type):
    try:
        return msgspec.json.decode(response.body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise StoreError(f"the store's answer is not usable: {error}") from error


def _value(item: _Item) -> bytes | None:
    """Return an item's bytes; ``None`` if another writer left what can't be read.

    An evacuation is in force while its key is there, whatever the value.
    """
    if item.key.startswith(_EVACUATED_PREFIX):
        return b""
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError as error:
        _log.warning("item not usable", key=item.key, reason=str(error))
        return None


def _key_value(item: _Item, *, generation: int) -> KeyValue | None:
    value = _value(item)
    if value is None:
        return None
    return KeyValue(
        key=_inner(item.key),
        value=value,
        mod_revision=Revision(generation=generation, number=item.revision),
        lease=item.lease,
    )


def _watch_event(item: _Item, *, generation: int) -> WatchEvent | None:
    value = None if item.deleted else _value(item)
    if value is None and not item.deleted:
        return None
    return WatchEvent(
        key=_inner(item.key),
        value=value,
        mod_revision=Revision(generation=generation, number=item.revision),
    )
