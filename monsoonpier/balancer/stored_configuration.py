"""Decoding, applying and compressing of the configuration that operators stored."""

from collections.abc import Callable
from dataclasses import dataclass

import structlog

from monsoonpier.balancer.configuration_copy import ConfigurationCopy
from monsoonpier.balancer.membership import Membership
from monsoonpier.documents.stored import decode_configuration, pack, unpack
from monsoonpier.model.findings import report
from monsoonpier.model.service import Configuration

__all__ = ["STORED_FORMAT", "ConfigurationFormat", "CurrentConfiguration"]

ALL_SERVICES = ""  # stands for the whole value in place of a service's name
MAX_LOGGED_FINDINGS = 20  # readers of logs cut longer lines
_log = structlog.get_logger("monsoonpier.balancer.stored_configuration")


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationFormat:
    """The format of the stored configuration.

    Attributes:
        decode: Returns the configuration in a stored value; raises ``ValueError`` if
            the value is invalid.
        pack: Compresses a stored value, reduced to one service if one is named.
    """

    decode: Callable[[bytes], Configuration]
    pack: Callable[[bytes, str], bytes]


STORED_FORMAT = ConfigurationFormat(
    decode=decode_configuration,
    pack=lambda value, service: pack(value, service=service),
)


class CurrentConfiguration:
    """Applies newer configurations and compresses the current one for others.

    Args:
        membership: Holds the configuration in force and compares versions.
        configuration_format: Decodes and compresses stored values.
        on_configured: Called after a newer configuration is in force.
    """

    def __init__(
        self,
        *,
        membership: Membership,
        configuration_format: ConfigurationFormat,
        on_configured: Callable[[], None],
    ) -> None:
        self._membership = membership
        self._format = configuration_format
        self._on_configured = on_configured
        self._value = b""
        self._packed_by_service: dict[str, bytes] = {}

    @property
    def version(self) -> int:
        """The version of the configuration in force; 0 if there is none."""
        return self._membership.configuration.version

    @property
    def value_bytes(self) -> int:
        """The size of the stored value in force."""
        return len(self._value)

    @property
    def copy(self) -> ConfigurationCopy:
        """The configuration in force as a copy for the store."""
        return ConfigurationCopy(version=self.version, packed=self.packed(ALL_SERVICES))

    def apply(
        self, value: bytes, *, learned_from: str = "store", received_bytes: int = 0
    ) -> None:
        """Apply a stored value if it is newer than the current one.

        Args:
            value: The value.
            learned_from: Where the value was received from, for the log.
            received_bytes: The size received, if it isn't that of the value.
        """
        try:
            configuration = self._format.decode(value)
        except ValueError as error:
            _log.error("stored configuration not usable", reason=str(error))
            return
        current = self.version
        if self._membership.configure(configuration):
            self._value = value
            self._packed_by_service.clear()
            _log.info(
                "configuration in force",
                version=configuration.version,
                before=current,
                received_bytes=received_bytes or len(value),
                learned_from=learned_from,
            )
            self._log_findings(configuration)
            self._on_configured()
        elif configuration.version < current:
            _log.warning(
                "older configuration rejected",
                offered=configuration.version,
                held=current,
                learned_from=learned_from,
            )

    def _log_findings(self, configuration: Configuration) -> None:
        if not configuration.findings:
            return
        _log.warning(
            "configuration partly in force; invalid entries ignored",
            version=configuration.version,
            findings=len(configuration.findings),
            first=report(configuration.findings[:MAX_LOGGED_FINDINGS]),
        )

    def apply_packed(self, packed: bytes, *, learned_from: str = "copy") -> None:
        """Apply a compressed value, of a peer or a copy, if it is newer."""
        try:
            value = unpack(packed)
        except ValueError as error:
            _log.error("packed configuration not usable", reason=str(error))
            return
        self.apply(value, learned_from=learned_from, received_bytes=len(packed))

    def packed(self, service: str) -> bytes:
        """Return the compressed value for a service's agents, or `ALL_SERVICES`."""
        if service in self._packed_by_service:
            return self._packed_by_service[service]
        packed = self._format.pack(self._value, service)
        # Requests that name undeclared services must not fill the cache.
        declared = self._membership.configuration.services_by_name
        if service == ALL_SERVICES or service in declared:
            self._packed_by_service[service] = packed
        return packed
