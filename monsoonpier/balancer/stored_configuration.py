"""The configuration's value as operators stored it: taken, and handed on packed."""

from collections.abc import Callable
from dataclasses import dataclass

import structlog

from monsoonpier.balancer.configuration_copy import ConfigurationCopy
from monsoonpier.balancer.membership import Membership
from monsoonpier.documents.stored import pack, unpack, unstore
from monsoonpier.model.findings import report
from monsoonpier.model.service import Configuration

__all__ = ["STORED_FORMAT", "ConfigurationFormat", "StoredConfiguration"]

ALL_SERVICES = ""  # in place of a service's name: the whole value
MAX_TOLD_FINDINGS = 20  # a line each; a log line's readers cut longer ones
_log = structlog.get_logger("monsoonpier.balancer.stored_configuration")


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationFormat:
    """How the store's value is read, and how it is packed for others.

    Attributes:
        decode: Returns the configuration; raises ``ValueError`` if it is none.
        pack: Returns the value compressed, cut down to a service if one is named.
    """

    decode: Callable[[bytes], Configuration]
    pack: Callable[[bytes, str], bytes]


STORED_FORMAT = ConfigurationFormat(
    decode=unstore, pack=lambda value, service: pack(value, service=service)
)


class StoredConfiguration:
    """Puts values in force unless they are older, and packs the one in force.

    Args:
        membership: Decides on versions and holds what is in force.
        configuration_format: How values are read and packed.
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
        """The version in force; 0 if there is none."""
        return self._membership.configuration.version

    @property
    def copy(self) -> ConfigurationCopy:
        """What is in force, for the store."""
        return ConfigurationCopy(version=self.version, packed=self.packed(ALL_SERVICES))

    def take(self, value: bytes) -> None:
        """Put the store's value in force unless it is older than the one held."""
        try:
            configuration = self._format.decode(value)
        except ValueError as error:
            _log.error("stored configuration not usable", reason=str(error))
            return
        held = self.version
        if self._membership.configure(configuration):
            self._value = value
            self._packed_by_service.clear()
            _log.info("configuration in force", version=configuration.version)
            self._tell_findings(configuration)
            self._on_configured()
        elif configuration.version < held:
            _log.warning(
                "older configuration refused", offered=configuration.version, held=held
            )

    def _tell_findings(self, configuration: Configuration) -> None:
        if not configuration.findings:
            return
        _log.warning(
            "configuration in force in part",
            version=configuration.version,
            findings=len(configuration.findings),
            first=report(configuration.findings[:MAX_TOLD_FINDINGS]),
        )

    def take_packed(self, packed: bytes) -> None:
        """Put a value in force that a peer or a copy has packed."""
        try:
            value = unpack(packed)
        except ValueError as error:
            _log.error("packed configuration not usable", reason=str(error))
            return
        self.take(value)

    def packed(self, service: str) -> bytes:
        """Return what a peer (`ALL_SERVICES`) or an agent of a service is given."""
        if service in self._packed_by_service:
            return self._packed_by_service[service]
        packed = self._format.pack(self._value, service)
        # Names that nobody declared must not fill the memory.
        declared = self._membership.configuration.services_by_name
        if service == ALL_SERVICES or service in declared:
            self._packed_by_service[service] = packed
        return packed
