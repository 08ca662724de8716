"""Processes that a test or the soak starts, and only those, ended by their pid."""

import asyncio
import os
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

__all__ = ["PYTHON", "Node", "kill_all", "spawn"]

PYTHON = sys.executable
STOP_SECONDS = 30.0


@dataclass(slots=True, kw_only=True)
class Node:
    """One process that was started here."""

    name: str
    ip: str
    process: asyncio.subprocess.Process
    log: Path

    @property
    def pid(self) -> int:
        """The process's id."""
        return self.process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process.returncode is None

    def signal(self, number: int) -> None:
        """Send a signal, unless the process has ended."""
        if self.is_running:
            self.process.send_signal(number)

    async def wait(self, seconds: float = STOP_SECONDS) -> int:
        """Return the exit status; kill the process if it takes too long."""
        try:
            async with asyncio.timeout(seconds):
                return await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
            raise TimeoutError(f"{self.name} did not stop") from None

    async def stop(self) -> int:
        """Ask it to leave and wait until it has."""
        self.signal(signal.SIGTERM)
        return await self.wait()


async def spawn(
    name: str, *arguments: str, ip: str, folder: Path, **environment: str
) -> Node:
    """Start a Python process; its output is appended to a log in ``folder``."""
    log = folder / f"{name.replace(' ', '-')}.log"
    with log.open("ab") as output:
        process = await asyncio.create_subprocess_exec(
            PYTHON,
            *arguments,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=output,
            stderr=output,
            env=os.environ | {"PYTHONUNBUFFERED": "1"} | environment,
        )
    return Node(name=name, ip=ip, process=process, log=log)


async def kill_all(nodes: list[Node]) -> None:
    """End processes at once, stopped ones too."""
    for node in nodes:
        if node.is_running:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
            await node.process.wait()
