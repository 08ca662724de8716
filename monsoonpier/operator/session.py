"""What an operator's command talks to: the platform, and the processes."""

import asyncio
import random

from monsoonpier.model.settings import Settings
from monsoonpier.process.control import NoAnswer, ask
from monsoonpier.store.etcd import EtcdStore
from monsoonpier.store.interface import StoreError
from monsoonpier.store.keys import BALANCERS
from monsoonpier.wire.control import AskDrain, AskStatus, DrainReply, StatusReply
from monsoonpier.wire.frames import BalancerRecord, FrameCodec

__all__ = ["OperatorSession"]

STATUS_SECONDS = 1.5


class OperatorSession:
    """Connections of one command; use as ``async with``."""

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
        """Return the balancers that hold a lease in the platform, by name.

        Raises:
            StoreError: If the platform can't be reached.
        """
        found = await self.platform.read(BALANCERS, prefix=True)
        records = [self._codec.decode(v.value) for v in found.values_by_key.values()]
        return {r.name: r for r in records if isinstance(r, BalancerRecord)}

    async def statuses(
        self, balancers: dict[str, BalancerRecord]
    ) -> dict[str, StatusReply | None]:
        """Ask all balancers at once; ``None`` stands for no answer."""
        replies = await asyncio.gather(
            *(self.status(record.control) for record in balancers.values())
        )
        return dict(zip(balancers, replies, strict=True))

    async def status(self, control: str) -> StatusReply | None:
        """Ask one process how it stands."""
        try:
            reply = await ask(
                control,
                AskStatus(),
                keys=self._settings.keys,
                timeout=STATUS_SECONDS,
            )
        except NoAnswer:
            return None
        return reply if isinstance(reply, StatusReply) else None

    async def drain(self, control: str, name: str) -> DrainReply:
        """Ask a process to leave.

        Raises:
            NoAnswer: If it does not answer.
        """
        reply = await ask(control, AskDrain(name=name), keys=self._settings.keys)
        if not isinstance(reply, DrainReply):
            raise NoAnswer(f"{control} answered something else")
        return reply

    async def newest_in_force(self) -> int:
        """Return the newest version that any balancer has in force; 0 if none."""
        try:
            statuses = await self.statuses(await self.balancers())
        except StoreError:
            return 0
        return max((s.version for s in statuses.values() if s), default=0)
