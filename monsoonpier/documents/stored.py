"""The configuration as the platform stores it and processes pass it on.

Processes read the services that were checked when they were accepted. They
don't parse the files again: that takes half a second of a balancer's time for
320 services, in which it would pass nothing.
"""

import zlib

import msgspec

from monsoonpier.model.service import Configuration, Service

__all__ = [
    "Stored",
    "decode_stored",
    "encode_stored",
    "pack",
    "unpack",
    "unstore",
]

MAX_UNPACKED_BYTES = 2 * 1_048_576


class Stored(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The platform's value: the files as written, and what they declare."""

    version: int
    apply_id: str
    who: str
    at: str
    files: dict[str, str]
    services: dict[str, Service]


_encode = msgspec.json.Encoder().encode
_decode = msgspec.json.Decoder(Stored).decode


def encode_stored(stored: Stored) -> bytes:
    """Return the platform's value."""
    return _encode(stored)


def decode_stored(value: bytes) -> Stored:
    """Return what the platform's value holds.

    Raises:
        ValueError: If it is not one that an operator's command stored.
    """
    try:
        return _decode(value)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ValueError(f"not a stored configuration: {error}") from error


def unstore(value: bytes) -> Configuration:
    """Return the configuration in a stored value.

    Raises:
        ValueError: If it is not one that an operator's command stored.
    """
    stored = decode_stored(value)
    return Configuration(version=stored.version, services_by_name=stored.services)


def pack(value: bytes, *, service: str = "") -> bytes:
    """Return a stored value compressed, cut down to one service if named.

    Raises:
        ValueError: If the value is not one that an operator's command stored.
    """
    if service:
        stored = decode_stored(value)
        services = {n: s for n, s in stored.services.items() if n == service}
        cut = msgspec.structs.replace(stored, files={}, services=services)
        value = encode_stored(cut)
    return zlib.compress(value)


def unpack(packed: bytes) -> bytes:
    """Return the stored value that a peer has packed.

    Raises:
        ValueError: If it isn't packed, or is too large.
    """
    inflater = zlib.decompressobj()
    try:
        value = inflater.decompress(packed, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise ValueError(f"not a packed configuration: {error}") from error
    if inflater.unconsumed_tail or not inflater.eof:
        raise ValueError("the packed configuration is cut or too large")
    return value
