"""The settings of a process, independent of the format they are read from."""

from dataclasses import dataclass

from monsoonpier.model.address import Address
from monsoonpier.model.keys import KeyRing

__all__ = [
    "CONFIGURATION_SECONDS",
    "MAX_FLOW_SECONDS",
    "Settings",
    "TargetSettings",
]

CONFIGURATION_SECONDS = 3.0  # default of the setting of this name
MAX_FLOW_SECONDS = 60.0  # default of the setting of this name


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetSettings:
    """The target that an agent runs beside."""

    service: str
    url: str
    slots: int = 3
    connections: int = 2000


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """The settings of one process, validated."""

    role: str
    name: str
    data_centre: str
    platform: tuple[str, ...]
    keys: KeyRing
    internal: Address | None = None
    control: Address | None = None
    metrics: Address | None = None
    service_bind_ip: str | None = None
    seeds: tuple[Address, ...] = ()
    data_centres: tuple[str, ...] = ()  # all of them; empty if not known
    target: TargetSettings | None = None
    reserve_slots: bool = False  # for waiting flows without a token
    link_megabits: float | None = None  # Mbit/s of the VM's link; None is no limit
    # In which a stored configuration or evacuation order must be in force.
    configuration_seconds: float = CONFIGURATION_SECONDS
    # After which a flow without a token may be discarded, also while it is idle.
    max_flow_seconds: float = MAX_FLOW_SECONDS

    @property
    def link_bits_per_second(self) -> float | None:
        """The capacity of the VM's link, if it is known."""
        return None if self.link_megabits is None else self.link_megabits * 1_000_000
