"""Connections of an operator's command to the platform and the processes."""

import asyncio
import random

from monsoonpier.model.settings import Settings
from monsoonpier.process.control import NoResponseError, send_request
from monsoonpier.store.etcd import EtcdStore
from monsoonpier.store.interface import StoreError
from monsoonpier.store.keys import BALANCERS
from monsoonpier.wire.control import (
    DrainReply,
    DrainRequest,
    StatusReply,
    StatusRequest,
)
from monsoonpier.wire.frames import BalancerRecord, FrameCodec

__all__ = ["OperatorSession"]

STATUS_TIMEOUT_SECONDS = 1.5


class OperatorSession:
    """Access of one command to the store, balancers and agents.

    An asynchronous context manager; leaving it closes the connection to the
    store.

    Attributes:
        draw: Source of random numbers.
        platform: The store.
    """

    def __init__(self, *, settings: Settings) -> None:
        self._settings = settings
        self.draw = random.Random()
        self.platform = EtcdStore(addresses=settings.platform, draw=self.draw)
        self._codec = FrameCodec(keys=settings.keys)

    async def __aenter__(self) -> "OperatorSession":
        return self

    async def __aexit__(self, *exception) -> None:
        await self.platform.close()

    async def balancers(self) -> dict[str, BalancerRecord]:
        """Return the balancers registered in the store, by name.

        Raises:
            StoreError: If the platform can't be reached.
        """
        found = await self.platform.read(BALANCERS, prefix=True)
        records = [self._codec.decode(v.value) for v in found.values_by_key.values()]
        return {r.name: r for r in records if isinstance(r, BalancerRecord)}

    async def statuses(
        self, balancers: dict[str, BalancerRecord]
    ) -> dict[str, StatusReply | None]:
        """Request the status of all balancers concurrently.

        Returns:
            The status of each balancer by name; ``None`` if it does not
                respond.
        """
        replies = await asyncio.gather(
            *(self.status(record.control) for record in balancers.values())
        )
        return dict(zip(balancers, replies, strict=True))

    async def status(self, control: str) -> StatusReply | None:
        """Request the status of one process.

        Args:
            control: The process's control address.

        Returns:
            The status; ``None`` if the process does not respond.
        """
        try:
            reply = await send_request(
                control,
                StatusRequest(),
                keys=self._settings.keys,
                timeout=STATUS_TIMEOUT_SECONDS,
            )
        except NoResponseError:
            return None
        return reply if isinstance(reply, StatusReply) else None

    async def drain(self, control: str, name: str) -> DrainReply:
        """Request that a process drain and shut down.

        Args:
            control: The process's control address.
            name: The process's name.

        Raises:
            NoResponseError: If the process does not respond as expected.
        """
        reply = await send_request(
            control, DrainRequest(name=name), keys=self._settings.keys
        )
        if not isinstance(reply, DrainReply):
            raise NoResponseError(f"{control} sent an unexpected response")
        return reply

    async def newest_in_force(self) -> int:
        """Return the newest version in force on a balancer; 0 if unknown."""
        try:
            statuses = await self.statuses(await self.balancers())
        except StoreError:
            return 0
        return max((s.version for s in statuses.values() if s), default=0)
