"""A process's settings as the platform writes them, decoded into `Settings`."""

import os
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import msgspec

from monsoonpier.model.address import Address
from monsoonpier.model.keys import Key, KeyRing
from monsoonpier.model.settings import Settings, TargetSettings

__all__ = ["PlatformSettings", "load_platform_settings"]

SETTINGS_VARIABLE = "MONSOONPIER_SETTINGS"
KEY_VARIABLE = "FRAME_KEY"
RESERVE_VARIABLE = "RESERVE_SLOTS"
KEY_BYTES = 32
CONTROL_OFFSET = 1  # after the first internal port, which takes frames
METRICS_PORT = 9464  # Prometheus exporters' usual one; also in deploy/system.toml


class _Listen(msgspec.Struct, frozen=True, kw_only=True):
    ready: str
    datagram_addr: str
    control: str | None = None
    outbound: str | None = None


class _StorePlace(msgspec.Struct, frozen=True, kw_only=True):
    address: str


class _Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Of the machine and of each process; only the link's rate is used."""

    link_mbps: Annotated[float, msgspec.Meta(gt=0)] | None = None


class _File(msgspec.Struct, frozen=True, kw_only=True):
    """The fields that are used; unknown ones are ignored."""

    node_name: str
    ip: str
    zone: str
    internal_ports: tuple[int, int]
    listen: _Listen
    platform: _StorePlace
    limits: _Limits = _Limits()
    seeds: tuple[str, ...] = ()
    zones: Mapping[str, str] = {}  # to their regions
    app: str | None = None
    service: str | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """The product's settings, and the addresses that only this path has.

    Attributes:
        common: What every process of the product knows.
        ready: Where readiness is probed.
        packets: Where callers' packets arrive; its port is also the callers'.
        store: Where the platform's store is.
        heartbeats: Where the target announces itself, or on entry VMs nothing
            that a target should ever call.
        from_target: Where the target sends its packets; agents only.
        target: Where the target takes packets; agents only.
    """

    common: Settings
    ready: Address
    packets: Address
    store: Address
    heartbeats: Address | None
    from_target: Address | None
    target: Address | None


def load_platform_settings(
    *, role: str, environment: Mapping[str, str] = os.environ
) -> PlatformSettings:
    """Read and check the settings file that the environment names.

    Raises:
        ValueError: If it can't be read or lacks something; says what and where.
    """
    path = environment.get(SETTINGS_VARIABLE)
    if not path:
        raise ValueError(f"{SETTINGS_VARIABLE} names no settings file")
    try:
        text = Path(path).read_text(encoding="utf-8")
        content = tomllib.loads(text)
    except (OSError, ValueError) as error:
        raise ValueError(f"{path}: {error}") from error
    try:
        file = msgspec.convert(content, _File)
        return _settings(
            file,
            role=role,
            keys=_keys(environment),
            reserve_slots=_is_on(environment, RESERVE_VARIABLE),
        )
    except (ValueError, msgspec.ValidationError) as error:
        raise ValueError(_report(content, text, path, role, error)) from error


def _report(content: dict, text: str, path: str, role: str, error: Exception) -> str:
    """Return all findings, one a line; the error itself if there are none."""
    # Imported when needed: a process that starts well does without.
    from monsoonpier.model.findings import report
    from monsoonpier.platform.settings_check import check_fields

    findings = check_fields(content, _File, text=text, file=path, role=role)
    return report(tuple(findings)) if findings else f"{path}: {error}"


def _settings(
    file: _File, *, role: str, keys: KeyRing, reserve_slots: bool
) -> PlatformSettings:
    first_port = file.internal_ports[0]
    internal = Address(ip=file.ip, port=first_port)
    target = None
    if role == "agent":
        if not file.app or not file.service or not file.listen.outbound:
            raise ValueError("an agent needs app, service and listen.outbound")
        target = TargetSettings(service=file.service, url=f"http://{file.app}")
    common = Settings(
        role=role,
        name=file.node_name,
        data_centre=file.zone,
        data_centres=tuple(file.zones),
        platform=(),
        keys=keys,
        internal=internal,
        control=Address(ip=file.ip, port=first_port + CONTROL_OFFSET),
        metrics=Address(ip=file.ip, port=METRICS_PORT),
        # A seed is where targets would announce themselves; its process takes
        # frames at the internal port, which is the same on all machines.
        seeds=tuple(
            Address(ip=Address.parse(seed).ip, port=first_port) for seed in file.seeds
        ),
        target=target,
        reserve_slots=reserve_slots,
        link_megabits=file.limits.link_mbps,
    )
    return PlatformSettings(
        common=common,
        ready=Address.parse(file.listen.ready),
        packets=Address.parse(file.listen.datagram_addr),
        store=Address.parse(file.platform.address),
        heartbeats=_optional(file.listen.control),
        from_target=_optional(file.listen.outbound),
        target=_optional(file.app),
    )


def _optional(text: str | None) -> Address | None:
    return Address.parse(text) if text else None


def _is_on(environment: Mapping[str, str], variable: str) -> bool:
    match environment.get(variable, ""):
        case "" | "off":
            return False
        case "on":
            return True
        case other:
            raise ValueError(f"{variable} must be on or off, not {other!r}")


def _keys(environment: Mapping[str, str]) -> KeyRing:
    try:
        secret = bytes.fromhex(environment.get(KEY_VARIABLE, ""))
    except ValueError as error:
        raise ValueError(f"{KEY_VARIABLE} is not hexadecimal") from error
    if len(secret) != KEY_BYTES:
        raise ValueError(f"{KEY_VARIABLE} must have {KEY_BYTES} bytes")
    return KeyRing(keys=(Key(id=1, secret=secret),))
