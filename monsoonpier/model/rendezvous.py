"""Highest-random-weight choice: the same few out of many, from any side."""

import math
from collections.abc import Iterable, Mapping
from hashlib import blake2b

__all__ = ["rank", "top", "top_by_weight"]

RANKS = 1 << 64  # as many as there are ranks of 8 bytes


def rank(subject: str, candidate: str) -> bytes:
    """Return the candidate's weight for a subject; the largest is chosen."""
    return blake2b(
        f"{subject}\0{candidate}".encode(), digest_size=8, person=b"rendezvous"
    ).digest()


def top(subject: str, candidates: Iterable[str], *, count: int) -> tuple[str, ...]:
    """Return the ``count`` candidates that rank highest for the subject."""
    ordered = sorted(candidates, key=lambda name: rank(subject, name), reverse=True)
    return tuple(ordered[:count])


def top_by_weight(
    subject: str, weights_by_candidate: Mapping[str, float]
) -> tuple[str, ...]:
    """Return the candidates that have a weight, the one for the subject first.

    Of many subjects each candidate comes first for a share in proportion to its
    weight. Its score depends on no other's weight: when one weight grows, subjects
    move to that candidate alone, and when one candidate goes, only its own move.
    """
    scores_by_candidate = {
        candidate: -math.log(_draw(subject, candidate)) / weight
        for candidate, weight in weights_by_candidate.items()
        if weight > 0
    }
    ordered = sorted((score, name) for name, score in scores_by_candidate.items())
    return tuple(name for _, name in ordered)


def _draw(subject: str, candidate: str) -> float:
    """Return a number above 0 and up to 1 that only these two names decide."""
    return (int.from_bytes(rank(subject, candidate), "big") + 0.5) / RANKS
