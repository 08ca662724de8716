"""Detects that a target has ended, by one idle connection to it."""

import asyncio
from collections.abc import Callable

import structlog

from monsoonpier.model.address import Address

__all__ = ["TargetLiveness"]

CONNECT_SECONDS = 1.0
RETRY_SECONDS = 0.1  # a target that starts beside its agent is up within a second
REFUSALS_NEEDED = 2  # the target may just be opening its listening socket again
_log = structlog.get_logger("monsoonpier.agent.packets.liveness")


class TargetLiveness:
    """Keeps one connection to the target and reports refused reconnects.

    ``on_up`` is called at the first connection, and at the first one after
    ``on_gone``. ``on_gone`` is called when connections are refused after the
    target was up. ``on_absent`` is called at each refusal after that, and at
    each refusal if the target was never up.

    When a target ends, its connection closes at once, long before a heartbeat
    is missed. A closed connection alone doesn't show that the target has
    ended, since targets close idle connections too. Only a refused connection
    shows that nothing listens.
    """

    def __init__(
        self,
        *,
        address: Address,
        on_up: Callable[[], None],
        on_gone: Callable[[], None],
        on_absent: Callable[[], None],
    ) -> None:
        self._address = address
        self._on_up = on_up
        self._on_gone = on_gone
        self._on_absent = on_absent
        self._was_up = False
        self._refusals = 0

    async def run(self) -> None:
        """Keep and renew the connection until cancelled."""
        while True:
            await self._watch_once()
            await asyncio.sleep(RETRY_SECONDS)

    async def _watch_once(self) -> None:
        try:
            # Until Python 3.12, wait_for may lose a cancellation.
            async with asyncio.timeout(CONNECT_SECONDS):
                reader, writer = await asyncio.open_connection(*self._address.endpoint)
        except ConnectionRefusedError:
            self._handle_refusal()
            return
        except (TimeoutError, OSError) as error:
            _log.info("connecting to the target failed", reason=repr(error))
            return
        self._refusals = 0
        if not self._was_up:
            self._was_up = True
            self._on_up()
        try:
            await reader.read(1)
        except OSError as error:
            _log.info("connection to the target broke", reason=repr(error))
        finally:
            writer.close()

    def _handle_refusal(self) -> None:
        self._refusals += 1
        if self._refusals < REFUSALS_NEEDED:
            return
        if self._was_up:
            self._was_up = False
            self._on_gone()
        else:
            self._on_absent()
