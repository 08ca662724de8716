"""HTTP/1.1 client of the agent's target: requests, streams and health.

The target's interface: ``POST /work/<kind>`` with ``X-Request-Id`` and
``X-Deadline-Ms``; ``GET /streams/<kind>?after=N``, answered by lines that each
are a JSON object with ``n`` and ``data``; ``GET /health``. Closing the
connection cancels a request.
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

__all__ = ["HealthStatus", "StreamItem", "TargetClient"]

CONNECT_SECONDS = 1.0
HEALTH_SECONDS = 1.0
DEFAULT_SHED_SECONDS = 1.0
MAX_SHED_SECONDS = 30.0
STREAM_BUFFER_BYTES = 65_536


@dataclass(frozen=True, slots=True, kw_only=True)
class HealthStatus:
    """The target's answer to a health check; the results of runs outweigh it."""

    healthy: bool
    draining: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamItem:
    """One item of a target's stream."""

    number: int
    body: bytes


class TargetClient:
    """Sends requests to the target and reads its answers and streams."""

    def __init__(self, *, url: str) -> None:
        self._url = url
        self._session: aiohttp.ClientSession | None = None

    def _http_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            # The agent limits the requests in flight itself.
            connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=5)
            self._session = aiohttp.ClientSession(
                connector=connector, read_bufsize=STREAM_BUFFER_BYTES
            )
        return self._session

    async def run(self, run: Run, *, request_id: str) -> RunResult:
        """Send one request to the target and return its result."""
        timeout = aiohttp.ClientTimeout(
            total=max(0.001, run.time_left), sock_connect=CONNECT_SECONDS
        )
        headers = {
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(int(run.time_left * 1000)),
            # A target may close an idle connection just when a request is sent
            # on it; the request would then count as one that may have run.
            "Connection": "close",
        }
        started = time.monotonic()
        try:
            async with self._http_session().post(
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
            return Broke(reason=f"connection to the target broke: {_error_name(error)}")

    async def stream(self, start: StartStream) -> AsyncIterator[StreamItem]:
        """Yield a stream's items.

        Raises:
            OSError: If the connection can't be made, or breaks, or the target
                answers with another status than 200.
        """
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS)
        url = f"{self._url}/streams/{start.kind}?after={start.after}"
        try:
            async with self._http_session().get(url, timeout=timeout) as response:
                if response.status != 200:
                    raise OSError(f"stream answered {response.status}")
                async for line in response.content:
                    item = _parse_item(line)
                    if item is not None:
                        yield item
        except aiohttp.ClientError as error:
            raise OSError(f"stream broke: {_error_name(error)}") from error

    async def health(self) -> HealthStatus:
        """Check the target's health; no answer counts as unhealthy."""
        timeout = aiohttp.ClientTimeout(total=HEALTH_SECONDS)
        try:
            async with self._http_session().get(
                f"{self._url}/health", timeout=timeout
            ) as response:
                text = await response.text()
                return HealthStatus(
                    healthy=response.status == 200, draining="draining" in text
                )
        except (aiohttp.ClientError, TimeoutError, OSError, UnicodeDecodeError):
            return HealthStatus(healthy=False)

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()


def _retry_after(response: aiohttp.ClientResponse) -> float:
    """Return the seconds in a 503 response's Retry-After header, within limits."""
    try:
        seconds = float(response.headers.get("Retry-After", DEFAULT_SHED_SECONDS))
    except ValueError:
        return DEFAULT_SHED_SECONDS
    return min(MAX_SHED_SECONDS, max(0.0, seconds))


def _parse_item(line: bytes) -> StreamItem | None:
    """Return the item on a line, or ``None`` if the line is malformed."""
    try:
        content = json.loads(line)
        return StreamItem(number=int(content["n"]), body=content["data"].encode())
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def _error_name(error: Exception) -> str:
    return type(error).__name__


# Results of runs that the agent aborts.
ABORTED_BY_CALLER = Aborted()
ABORTED_BY_DEADLINE = TimedOut()
