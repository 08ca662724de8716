"""Requests between processes over ZeroMQ, authenticated with the shared keys."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import structlog
import zmq
import zmq.asyncio

from monsoonpier.model.address import Address
from monsoonpier.model.keys import KeyRing
from monsoonpier.process.lifecycle import ProcessLifecycle
from monsoonpier.wire.codec import Dropped
from monsoonpier.wire.control import (
    MAX_CONTROL_BYTES,
    ControlCodec,
    DrainReply,
    DrainRequest,
)

__all__ = ["ControlServer", "NoResponseError", "handle_drain", "send_request"]

REQUEST_SECONDS = 2.0  # default timeout of a request
HIGH_WATER_MARK = 100  # messages queued per connection
_log = structlog.get_logger("monsoonpier.process.control")

Handler = Callable[[msgspec.Struct], Awaitable[msgspec.Struct | None]]


class NoResponseError(Exception):
    """The process did not reply in time, or its reply could not be decoded."""


class ControlServer:
    """Serves control requests on a ROUTER socket through a handler."""

    def __init__(self, *, address: Address, keys: KeyRing, handler: Handler) -> None:
        self._address = address
        self._codec = ControlCodec(keys=keys)
        self._handler = handler
        self._context = zmq.asyncio.Context()
        self._socket: zmq.asyncio.Socket | None = None
        self.bytes_total = 0
        self.dropped = 0

    def start(self) -> None:
        """Bind the socket.

        Raises:
            OSError: If the port is in use.
        """
        socket = self._context.socket(zmq.ROUTER)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.MAXMSGSIZE, MAX_CONTROL_BYTES)
        socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
        socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
        try:
            socket.bind(f"tcp://{self._address}")
        except zmq.ZMQError as error:
            raise OSError(error.errno, f"{error} ({self._address})") from error
        self._socket = socket

    async def run(self) -> None:
        """Serve requests until cancelled."""
        assert self._socket is not None
        while True:
            identity, *frames = await self._socket.recv_multipart()
            if len(frames) != 1:
                self.dropped += 1
                continue
            message = self._codec.decode(frames[0])
            if isinstance(message, Dropped):
                self.dropped += 1
                _log.warning("control message dropped", reason=message.reason)
                continue
            reply = await self._handler(message)
            if reply is not None:
                data = self._codec.encode(reply)
                self.bytes_total += len(frames[0]) + len(data)
                await self._socket.send_multipart([identity, data])

    def stop(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            self._socket.close()
        self._context.term()


def handle_drain(
    request: DrainRequest, *, name: str, life: ProcessLifecycle
) -> DrainReply:
    """Start to shut down this process if the request names it.

    Args:
        request: The operator's request.
        name: This process's name.
        life: This process's lifecycle.
    """
    if request.name != name:
        return DrainReply(accepted=False, reason="not this process")
    # A second "terminate" event would end a process before its shutdown is complete.
    if life.state != "leaving":
        life.step("terminate")
    return DrainReply(accepted=True)


async def send_request(
    address: str,
    message: msgspec.Struct,
    *,
    keys: KeyRing,
    timeout: float = REQUEST_SECONDS,
) -> msgspec.Struct:
    """Send a request to a process and return its reply.

    Raises:
        NoResponseError: If no valid reply arrives within ``timeout`` seconds.
    """
    codec = ControlCodec(keys=keys)
    context = zmq.asyncio.Context.instance()
    socket = context.socket(zmq.DEALER)
    socket.setsockopt(zmq.LINGER, 0)
    try:
        socket.connect(f"tcp://{address}")
        await socket.send(codec.encode(message))
        async with asyncio.timeout(timeout):
            data = await socket.recv()
    except (TimeoutError, zmq.ZMQError) as error:
        raise NoResponseError(f"{address} did not answer") from error
    finally:
        socket.close()
    reply = codec.decode(data)
    if isinstance(reply, Dropped):
        raise NoResponseError(f"{address} sent a {reply.reason} reply")
    return reply
