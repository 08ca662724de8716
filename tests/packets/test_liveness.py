"""The connection by which an agent notices that its target ends."""

import asyncio
import contextlib
import unittest
from unittest import mock

from monsoonpier.agent.packets.liveness import TargetLiveness
from monsoonpier.model.address import Address

MAX_TURNS = 8  # of the event loop, in which a connection or the watch ends


class CancellationTests(unittest.IsolatedAsyncioTestCase):
    """An agent that is asked to stop."""

    async def test_cancelled_as_a_connection_ends(self) -> None:
        """The watch ends, whenever its connection succeeds or is refused.

        Else the agent doesn't end at SIGTERM, since it waits for the watch.
        """
        for turns in range(MAX_TURNS):
            for error in (None, ConnectionRefusedError()):
                with self.subTest(turns=turns, error=error):
                    self.assertTrue(await self.is_cancelled(turns, error))

    async def is_cancelled(self, turns: int, error: Exception | None) -> bool:
        """Cancel a watch so many turns after its connection has ended."""
        is_connected = asyncio.Event()

        async def connect(*_):
            await is_connected.wait()
            if error is not None:
                raise error
            return asyncio.StreamReader(), mock.Mock()

        liveness = TargetLiveness(
            address=Address(ip="127.0.0.1", port=9),
            on_up=mock.Mock(),
            on_gone=mock.Mock(),
            on_absent=mock.Mock(),
        )
        with mock.patch("asyncio.open_connection", connect):
            watch = asyncio.create_task(liveness.run())
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            is_connected.set()
            for _ in range(turns):
                await asyncio.sleep(0)
            watch.cancel()
            for _ in range(MAX_TURNS):
                await asyncio.sleep(0)
            is_ended = watch.done()
            watch.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await watch
        return is_ended
