"""Rendezvous hashing (highest random weight).

Processes that know the same candidates select the same few without
coordination.
"""

import math
from collections.abc import Iterable, Mapping
from hashlib import blake2b

__all__ = ["rank", "top", "top_by_weight"]

HASH_VALUES = 1 << 64  # of 8 bytes


def rank(subject: str, candidate: str) -> bytes:
    """Return the candidate's hash for a subject; the largest is selected."""
    return blake2b(
        f"{subject}\0{candidate}".encode(), digest_size=8, person=b"rendezvous"
    ).digest()


def top(subject: str, candidates: Iterable[str], *, count: int) -> tuple[str, ...]:
    """Return the ``count`` candidates with the largest hashes for the subject."""
    ordered = sorted(candidates, key=lambda name: rank(subject, name), reverse=True)
    return tuple(ordered[:count])


def top_by_weight(
    subject: str, weights_by_candidate: Mapping[str, float]
) -> tuple[str, ...]:
    """Return the candidates with a weight above 0, best for the subject first.

    Over many subjects, each candidate comes first in proportion to its weight.
    A candidate's score doesn't depend on the weights of others. When a weight
    grows, subjects move only to that candidate, and when a candidate is
    removed, only its own subjects move.
    """
    scores_by_candidate = {
        candidate: -math.log(_unit_hash(subject, candidate)) / weight
        for candidate, weight in weights_by_candidate.items()
        if weight > 0
    }
    ordered = sorted((score, name) for name, score in scores_by_candidate.items())
    return tuple(name for _, name in ordered)


def _unit_hash(subject: str, candidate: str) -> float:
    """Return a hash of both names, above 0 and up to 1."""
    return (int.from_bytes(rank(subject, candidate), "big") + 0.5) / HASH_VALUES
