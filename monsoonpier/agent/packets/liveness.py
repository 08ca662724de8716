"""Whether a target still runs, told by one idle connection to it."""

import asyncio
from collections.abc import Callable

import structlog

from monsoonpier.model.address import Address

__all__ = ["TargetLiveness"]

CONNECT_SECONDS = 1.0
RETRY_SECONDS = 0.1  # a target that starts beside its agent is up in a second
REFUSALS_NEEDED = 2  # a listener may be set up anew in between
_log = structlog.get_logger("monsoonpier.agent.packets.liveness")


class TargetLiveness:
    """Keeps a connection open; ``on_gone`` is called when it is refused anew.

    ``on_absent`` is called at each further refusal, and where it never stood.

    A target that ends closes its connections at once, long before its
    heartbeats are missed. Closing alone proves nothing, since targets close
    idle connections too; only a refused connection means that nobody listens.
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
        """Watch until cancelled."""
        while True:
            await self._watch_once()
            await asyncio.sleep(RETRY_SECONDS)

    async def _watch_once(self) -> None:
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*self._address.endpoint), CONNECT_SECONDS
            )
        except ConnectionRefusedError:
            self._refused()
            return
        except (TimeoutError, OSError) as error:
            _log.info("target not reached", reason=repr(error))
            return
        self._refusals = 0
        if not self._was_up:
            self._was_up = True
            self._on_up()
        try:
            await reader.read(1)
        except OSError as error:
            _log.info("connection to target cut", reason=repr(error))
        finally:
            writer.close()

    def _refused(self) -> None:
        self._refusals += 1
        if self._refusals < REFUSALS_NEEDED:
            return
        if self._was_up:
            self._was_up = False
            self._on_gone()
        else:
            self._on_absent()
