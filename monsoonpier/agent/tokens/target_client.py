"""Speaks HTTP/1.1 to the one target: work, streams, health and load.

The target's interface: ``POST /work/<kind>`` with ``X-Request-Id`` and
``X-Deadline-Ms``; ``GET /streams/<kind>?after=N`` answers one JSON object a
line with ``n`` and ``data``; ``GET /health``. A closed connection cancels.
"""

import json
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass

import aiohttp

from monsoonpier.agent.tokens.actions import (
    Aborted,
    Answered,
    Broke,
    NeverSent,
    Run,
    RunResult,
    Shed,
    StartStream,
    TimedOut,
)

__all__ = ["HealthHint", "StreamItem", "TargetClient"]

CONNECT_SECONDS = 1.0
HEALTH_SECONDS = 1.0
DEFAULT_SHED_SECONDS = 1.0
MAX_SHED_SECONDS = 30.0
STREAM_BUFFER_BYTES = 65_536


@dataclass(frozen=True, slots=True, kw_only=True)
class HealthHint:
    """What the target says of itself; it may lag or mislead."""

    healthy: bool
    draining: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamItem:
    """One item of a target's stream."""

    number: int
    body: bytes


class TargetClient:
    """Owns the connections to the target."""

    def __init__(self, *, url: str) -> None:
        self._url = url
        self._session: aiohttp.ClientSession | None = None

    def _client(self) -> aiohttp.ClientSession:
        if self._session is None:
            # Limits are the agent's own decision, not the connector's.
            connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=5)
            self._session = aiohttp.ClientSession(
                connector=connector, read_bufsize=STREAM_BUFFER_BYTES
            )
        return self._session

    async def run(self, run: Run, *, request_id: str) -> RunResult:
        """Hand one request over and return how it ended."""
        timeout = aiohttp.ClientTimeout(
            total=max(0.001, run.time_left), sock_connect=CONNECT_SECONDS
        )
        headers = {
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(int(run.time_left * 1000)),
            # A connection that the target closes while idle would break a
            # request that never ran, and be taken for one that may have.
            "Connection": "close",
        }
        started = time.monotonic()
        try:
            async with self._client().post(
                f"{self._url}/work/{run.kind}",
                data=run.body,
                headers=headers,
                timeout=timeout,
            ) as response:
                body = await response.read()
                if response.status == 503:
                    return Shed(retry_after=_retry_after(response))
                seconds = time.monotonic() - started
                return Answered(status=response.status, body=body, seconds=seconds)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return NeverSent(reason=f"target unreachable: {type(error).__name__}")
        except TimeoutError:
            return TimedOut()
        except (aiohttp.ClientError, OSError) as error:
            return Broke(reason=f"connection to the target broke: {_name(error)}")

    async def stream(self, start: StartStream) -> AsyncIterator[StreamItem]:
        """Yield a stream's items.

        Raises:
            OSError: If the connection can't be made, or breaks.
        """
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS)
        url = f"{self._url}/streams/{start.kind}?after={start.after}"
        try:
            async with self._client().get(url, timeout=timeout) as response:
                if response.status != 200:
                    raise OSError(f"stream answered {response.status}")
                async for line in response.content:
                    item = _parse_item(line)
                    if item is not None:
                        yield item
        except aiohttp.ClientError as error:
            raise OSError(f"stream broke: {_name(error)}") from error

    async def health(self) -> HealthHint:
        """Ask the target for its health; an answer is only a hint."""
        timeout = aiohttp.ClientTimeout(total=HEALTH_SECONDS)
        try:
            async with self._client().get(
                f"{self._url}/health", timeout=timeout
            ) as response:
                text = await response.text()
                return HealthHint(
                    healthy=response.status == 200, draining="draining" in text
                )
        except (aiohttp.ClientError, TimeoutError, OSError, UnicodeDecodeError):
            return HealthHint(healthy=False)

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()


def _retry_after(response: aiohttp.ClientResponse) -> float:
    try:
        seconds = float(response.headers.get("Retry-After", DEFAULT_SHED_SECONDS))
    except ValueError:
        return DEFAULT_SHED_SECONDS
    return min(MAX_SHED_SECONDS, max(0.0, seconds))


def _parse_item(line: bytes) -> StreamItem | None:
    try:
        content = json.loads(line)
        return StreamItem(number=int(content["n"]), body=content["data"].encode())
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def _name(error: Exception) -> str:
    return type(error).__name__


# A run that the agent itself aborts ends as one of these.
ABORTED_BY_CALLER = Aborted()
ABORTED_BY_DEADLINE = TimedOut()
