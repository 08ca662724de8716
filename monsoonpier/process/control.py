"""Conversations between processes over ZeroMQ, sealed with the shared keys."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import structlog
import zmq
import zmq.asyncio

from monsoonpier.model.address import Address
from monsoonpier.model.keys import KeyRing
from monsoonpier.process.life import ProcessLife
from monsoonpier.wire.codec import Dropped
from monsoonpier.wire.control import (
    MAX_CONTROL_BYTES,
    AskDrain,
    ControlCodec,
    DrainReply,
)

__all__ = ["ControlServer", "NoAnswer", "answer_drain", "ask"]

ASK_SECONDS = 2.0
HIGH_WATER_MARK = 100
_log = structlog.get_logger("monsoonpier.process.control")

Handler = Callable[[msgspec.Struct], Awaitable[msgspec.Struct | None]]


class NoAnswer(Exception):
    """The process did not answer in time, or answered nonsense."""


class ControlServer:
    """Owns a ROUTER socket and answers each message by a handler."""

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
            OSError: If the port is taken.
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
        """Answer messages until cancelled."""
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
            answer = await self._handler(message)
            if answer is not None:
                data = self._codec.encode(answer)
                self.bytes_total += len(frames[0]) + len(data)
                await self._socket.send_multipart([identity, data])

    def stop(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            self._socket.close()
        self._context.term()


def answer_drain(question: AskDrain, *, name: str, life: ProcessLife) -> DrainReply:
    """Let the process leave if it is the one that is meant, once.

    Args:
        question: The operator's request.
        name: This process's name.
        life: This process's life.
    """
    if question.name != name:
        return DrainReply(accepted=False, reason="not this process")
    # A second termination would end a leaving process at once.
    if life.state != "leaving":
        life.step("terminate")
    return DrainReply(accepted=True)


async def ask(
    address: str,
    message: msgspec.Struct,
    *,
    keys: KeyRing,
    timeout: float = ASK_SECONDS,
) -> msgspec.Struct:
    """Send a message to a process and return its answer.

    Raises:
        NoAnswer: If none comes within ``timeout`` seconds.
    """
    codec = ControlCodec(keys=keys)
    context = zmq.asyncio.Context.instance()
    socket = context.socket(zmq.DEALER)
    socket.setsockopt(zmq.LINGER, 0)
    try:
        socket.connect(f"tcp://{address}")
        await socket.send(codec.encode(message))
        data = await asyncio.wait_for(socket.recv(), timeout)
    except (TimeoutError, zmq.ZMQError) as error:
        raise NoAnswer(f"{address} did not answer") from error
    finally:
        socket.close()
    answer = codec.decode(data)
    if isinstance(answer, Dropped):
        raise NoAnswer(f"{address} answered a {answer.reason} message")
    return answer
