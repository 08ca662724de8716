"""Highest-random-weight choice: the same few out of many, from any side."""

from collections.abc import Iterable
from hashlib import blake2b

__all__ = ["rank", "top"]


def rank(subject: str, candidate: str) -> bytes:
    """Return the candidate's weight for a subject; the largest is chosen."""
    return blake2b(
        f"{subject}\0{candidate}".encode(), digest_size=8, person=b"rendezvous"
    ).digest()


def top(subject: str, candidates: Iterable[str], *, count: int) -> tuple[str, ...]:
    """Return the ``count`` candidates that rank highest for the subject."""
    ordered = sorted(candidates, key=lambda name: rank(subject, name), reverse=True)
    return tuple(ordered[:count])
