"""Starts processes for tests and stops them by their pid."""

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
    """A running or exited process of a deployment, and its IP address and log file."""

    name: str
    ip: str
    process: asyncio.subprocess.Process
    log: Path

    @property
    def pid(self) -> int:
        """The process id."""
        return self.process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not exited."""
        return self.process.returncode is None

    def signal(self, number: int) -> None:
        """Send a signal, unless the process has exited."""
        if self.is_running:
            self.process.send_signal(number)

    async def wait(self, seconds: float = STOP_SECONDS) -> int:
        """Wait for the process to exit and return its status.

        Raises:
            TimeoutError: If it runs longer than ``seconds``; it is killed.
        """
        try:
            async with asyncio.timeout(seconds):
                return await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
            raise TimeoutError(f"{self.name} did not stop") from None

    async def stop(self) -> int:
        """Send SIGTERM and return the exit status."""
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
    """Kill processes, including those that SIGSTOP has paused."""
    for node in nodes:
        if node.is_running:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
            await node.process.wait()
