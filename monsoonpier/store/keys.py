"""The keys that the project uses in the platform's service."""

__all__ = ["AUDIT", "BALANCERS", "CONFIGURATION", "audit_key"]

PREFIX = "/monsoonpier/"
CONFIGURATION = PREFIX + "configuration"
AUDIT = PREFIX + "audit/"
BALANCERS = PREFIX + "balancers/"


def audit_key(version: int) -> str:
    """Return the key of a version's audit entry; keys sort by version."""
    return f"{AUDIT}{version:012d}"
