"""Targets as agents report them: who they are and how loaded."""

from enum import IntEnum

import msgspec

from monsoonpier.model.address import Address

__all__ = ["ABSENT_SECONDS", "QUEUE_AHEAD", "Condition", "LoadReport", "TargetRecord"]

# New flows beyond its slots that a target may have: its next run then starts
# without the way to a balancer and back. Balancers and agents must agree on it.
QUEUE_AHEAD = 1
# Where nobody has listened for so long since an agent's start no target is left that
# could hold flows: four heartbeats; targets that leave end within a second of their
# farewell. Balancers and agents must agree on it too.
ABSENT_SECONDS = 3.0


class Condition(IntEnum):
    """What a target will take; the states of ``charts/target.toml``."""

    STARTING = 0
    SERVING = 1
    SHEDDING = 2
    UNRESPONSIVE = 3
    LEAVING = 4
    GONE = 5


class LoadReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True, gc=False):
    """An agent's own count of its work; rides on replies and heartbeats.

    ``number`` grows with each report, so that a late one is known as such.
    ``service_ms`` is the smoothed time of one run, ``age_ms`` the time since
    the target began to serve, ``cold_ms`` how much longer it says it is slow,
    ``failed_percent`` the share of its latest requests that it failed,
    ``queued_late`` counts those beside ``queued`` that can't be answered in time.
    """

    number: int
    in_flight: int = 0
    queued: int = 0
    flows: int = 0
    service_ms: int = 0
    age_ms: int = 0
    condition: Condition = Condition.STARTING
    cold_ms: int = 0
    failed_percent: int = 0
    queued_late: int = 0


class TargetRecord(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, gc=False
):
    """What a target's agent announces; only that agent changes it.

    Of two records with one name the one with the larger ``rank`` holds:
    ``epoch`` is the agent's start (ms of its wall clock), ``change`` counts
    its changes since then. ``is_absent`` says that nobody has listened at the
    target's address since that start.
    """

    name: str
    service: str
    data_centre: str
    ip: str
    port: int
    control: str
    instance: bytes
    epoch: int
    change: int = 0
    slots: int = 1
    connections: int = 1
    condition: Condition = Condition.STARTING
    is_absent: bool = False

    @property
    def rank(self) -> tuple[int, int]:
        """The record's age: the larger one replaces the smaller."""
        return (self.epoch, self.change)

    @property
    def address(self) -> Address:
        """The agent's UDP address."""
        return Address(ip=self.ip, port=self.port)

    def with_condition(self, condition: Condition) -> "TargetRecord":
        """Return a copy in that condition, one change newer."""
        is_absent = self.is_absent and condition is Condition.STARTING
        return msgspec.structs.replace(
            self, condition=condition, change=self.change + 1, is_absent=is_absent
        )
