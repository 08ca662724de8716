"""The configuration as the platform stores it and processes pass it on.

Processes read the services that were checked when they were accepted. They
don't parse the files again: that takes half a second of a balancer's time for
320 services, in which it would pass nothing.
"""

import msgspec

from monsoonpier.model.service import Configuration, Service

__all__ = ["Stored", "decode_stored", "encode_stored", "unstore"]


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


def unstore(text: str) -> Configuration:
    """Return the configuration in a stored text.

    Raises:
        ValueError: If it is not one that an operator's command stored.
    """
    stored = decode_stored(text.encode())
    return Configuration(version=stored.version, services_by_name=stored.services)
