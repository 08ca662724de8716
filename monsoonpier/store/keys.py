"""The keys used in the platform's key-value store."""

__all__ = [
    "AUDIT",
    "BALANCERS",
    "CONFIGURATION",
    "CONFIGURATION_COPY",
    "EVACUATIONS",
    "EVACUATION_AUDIT",
    "audit_key",
]

PREFIX = "/monsoonpier/"
CONFIGURATION = PREFIX + "configuration"
# Under the configuration's key, so that one read and one watch cover both.
EVACUATIONS = CONFIGURATION + "/evacuations/"
CONFIGURATION_COPY = PREFIX + "copies/configuration"
AUDIT = PREFIX + "audit/"
EVACUATION_AUDIT = PREFIX + "evacuation-audit/"
BALANCERS = PREFIX + "balancers/"


def audit_key(version: int) -> str:
    """Return the key of a version's audit entry; padded to sort by version."""
    return f"{AUDIT}{version:012d}"
