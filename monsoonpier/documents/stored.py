"""The configuration as stored on the platform and sent between processes.

It contains the services as they were checked when the configuration was accepted, so
that processes need not parse the files again, which would block a balancer.
"""

import zlib

import msgspec

from monsoonpier.model.service import Configuration, Service

__all__ = [
    "StoredConfiguration",
    "decode_stored",
    "encode_stored",
    "pack",
    "unpack",
    "decode_configuration",
]

MAX_UNPACKED_BYTES = 2 * 1_048_576  # limit of decompression


class StoredConfiguration(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
    """The stored value.

    Attributes:
        version: Number of the configuration; each change increments it.
        apply_id: Unique identifier of the change that stored this version.
        who: The operator who made the change.
        at: The time of the change, in ISO 8601 format.
        files: The texts of the files, by name.
        services: The services that the files declare, by name.
    """

    version: int
    apply_id: str
    who: str
    at: str
    files: dict[str, str]
    services: dict[str, Service]


_encode = msgspec.json.Encoder().encode
_decode = msgspec.json.Decoder(StoredConfiguration).decode


def encode_stored(stored: StoredConfiguration) -> bytes:
    """Encode a configuration as a stored value."""
    return _encode(stored)


def decode_stored(value: bytes) -> StoredConfiguration:
    """Decode a stored value.

    Raises:
        ValueError: If it is not a valid stored configuration.
    """
    try:
        return _decode(value)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ValueError(f"invalid stored configuration: {error}") from error


def decode_configuration(value: bytes) -> Configuration:
    """Decode the version and services of a stored value.

    Raises:
        ValueError: If it is not a valid stored configuration.
    """
    stored = decode_stored(value)
    return Configuration(version=stored.version, services_by_name=stored.services)


def pack(value: bytes, *, service: str = "") -> bytes:
    """Compress a stored value; if a service is named, reduce the value to it.

    Raises:
        ValueError: If the value is not a valid stored configuration.
    """
    if service:
        stored = decode_stored(value)
        services = {n: s for n, s in stored.services.items() if n == service}
        reduced = msgspec.structs.replace(stored, files={}, services=services)
        value = encode_stored(reduced)
    return zlib.compress(value)


def unpack(packed: bytes) -> bytes:
    """Decompress a stored value that a peer has packed.

    Raises:
        ValueError: If the data is invalid, truncated or too large.
    """
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(packed, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise ValueError(f"invalid packed configuration: {error}") from error
    if decompressor.unconsumed_tail or not decompressor.eof:
        raise ValueError("the packed configuration is truncated or too large")
    return value
