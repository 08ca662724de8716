"""What a process knows of itself, however its settings were written."""

from dataclasses import dataclass

from monsoonpier.model.address import Address
from monsoonpier.model.keys import KeyRing

__all__ = ["Settings", "TargetSettings"]


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetSettings:
    """The one target that an agent stands beside."""

    service: str
    url: str
    slots: int = 3
    connections: int = 2000


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """What a process needs to know of itself; fully checked."""

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
    data_centres: tuple[str, ...] = ()  # all of them, if they are known
    target: TargetSettings | None = None
    reserve_slots: bool = False  # for flows without a token that wait
    link_megabits: float | None = None  # a second, of the VM; not known: no limit

    @property
    def link_bits_per_second(self) -> float | None:
        """What the VM's link carries, if it is known."""
        return None if self.link_megabits is None else self.link_megabits * 1_000_000
