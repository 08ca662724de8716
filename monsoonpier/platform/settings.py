"""Loading of the platform's settings file into `Settings`."""

import os
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import msgspec

from monsoonpier.model.address import Address
from monsoonpier.model.keys import Key, KeyRing
from monsoonpier.model.settings import (
    CONFIGURATION_SECONDS,
    MAX_FLOW_SECONDS,
    Settings,
    TargetSettings,
)

__all__ = ["PlatformSettings", "load_platform_settings"]

SETTINGS_VARIABLE = "MONSOONPIER_SETTINGS"
KEY_VARIABLE = "FRAME_KEY"
RESERVE_VARIABLE = "RESERVE_SLOTS"
KEY_BYTES = 32
CONTROL_OFFSET = 1  # from the first internal port, which receives frames
METRICS_PORT = 9464  # must agree with deploy/system.toml


class _Listen(msgspec.Struct, frozen=True, kw_only=True):
    ready: str  # readiness probe
    datagram_addr: str  # callers' packets
    control: str | None = None  # the target's heartbeats
    outbound: str | None = None  # the target's packets


class _StoreSettings(msgspec.Struct, frozen=True, kw_only=True):
    address: str


class _Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of the machine and its processes; only the link's rate is used."""

    link_mbps: Annotated[float, msgspec.Meta(gt=0)] | None = None


class _Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of the platform's rules; the others aren't used."""

    max_flow_s: Annotated[float, msgspec.Meta(gt=0)] = MAX_FLOW_SECONDS
    config_apply_ms: Annotated[float, msgspec.Meta(gt=0)] = CONFIGURATION_SECONDS * 1000


class _File(msgspec.Struct, frozen=True, kw_only=True):
    """The settings file; unknown fields are ignored."""

    node_name: str
    ip: str
    zone: str
    internal_ports: tuple[int, int]
    listen: _Listen
    platform: _StoreSettings
    limits: _Limits = _Limits()
    bounds: _Bounds = _Bounds()
    seeds: tuple[str, ...] = ()
    zones: Mapping[str, str] = {}  # region by zone
    app: str | None = None
    service: str | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """The common settings, and addresses that are specific to the platform.

    Attributes:
        common: The settings that all kinds of deployment have.
        ready: Address of the readiness probe.
        packets: Address that receives callers' packets; callers use the same port.
        store: Address of the platform's store.
        heartbeats: Address that receives the target's heartbeats. On entry VMs it
            rejects every call.
        from_target: Address that receives the target's packets; agents only.
        target: Address at which the target receives packets; agents only.
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
        ValueError: If the file is unreadable or invalid; lists each problem with
            its place.
    """
    path = environment.get(SETTINGS_VARIABLE)
    if not path:
        raise ValueError(f"{SETTINGS_VARIABLE} is not set in the environment")
    try:
        text = Path(path).read_text(encoding="utf-8")
        content = tomllib.loads(text)
    except (OSError, ValueError) as error:
        raise ValueError(f"{path}: {error}") from error
    try:
        file = msgspec.convert(content, _File)
        return _build_settings(
            file,
            role=role,
            keys=_load_keys(environment),
            reserve_slots=_parse_switch(environment, RESERVE_VARIABLE),
        )
    except (ValueError, msgspec.ValidationError) as error:
        raise ValueError(_explain(content, text, path, role, error)) from error


def _explain(content: dict, text: str, path: str, role: str, error: Exception) -> str:
    """Return all findings, one a line, or the error's text if there are none."""
    # Imported here because only invalid settings need these modules.
    from monsoonpier.model.findings import report
    from monsoonpier.platform.settings_check import check_fields

    findings = check_fields(content, _File, text=text, file=path, role=role)
    return report(tuple(findings)) if findings else f"{path}: {error}"


def _build_settings(
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
        # Seeds are heartbeat addresses. Their processes receive frames at the first
        # internal port, which is the same on all machines.
        seeds=tuple(
            Address(ip=Address.parse(seed).ip, port=first_port) for seed in file.seeds
        ),
        target=target,
        reserve_slots=reserve_slots,
        link_megabits=file.limits.link_mbps,
        configuration_seconds=file.bounds.config_apply_ms / 1000,
        max_flow_seconds=file.bounds.max_flow_s,
    )
    return PlatformSettings(
        common=common,
        ready=Address.parse(file.listen.ready),
        packets=Address.parse(file.listen.datagram_addr),
        store=Address.parse(file.platform.address),
        heartbeats=_parse_optional(file.listen.control),
        from_target=_parse_optional(file.listen.outbound),
        target=_parse_optional(file.app),
    )


def _parse_optional(text: str | None) -> Address | None:
    return Address.parse(text) if text else None


def _parse_switch(environment: Mapping[str, str], variable: str) -> bool:
    """Return whether a variable is ``on``; unset counts as ``off``."""
    match environment.get(variable, ""):
        case "" | "off":
            return False
        case "on":
            return True
        case other:
            raise ValueError(f"{variable} must be on or off, not {other!r}")


def _load_keys(environment: Mapping[str, str]) -> KeyRing:
    try:
        secret = bytes.fromhex(environment.get(KEY_VARIABLE, ""))
    except ValueError as error:
        raise ValueError(f"{KEY_VARIABLE} is not hexadecimal") from error
    if len(secret) != KEY_BYTES:
        raise ValueError(f"{KEY_VARIABLE} must have {KEY_BYTES} bytes")
    return KeyRing(keys=(Key(id=1, secret=secret),))
