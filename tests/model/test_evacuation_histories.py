"""Drawn histories of evacuation orders, checked against a model that keeps everything.

Fixed seeds, so that each run checks the same histories.
"""

import random
import unittest
from dataclasses import dataclass, field

from monsoonpier.model.evacuation import Evacuation, Evacuations, evacuation
from monsoonpier.model.revision import Revision
from tests.model.test_evacuation import DATA_CENTRES, store_at

HISTORIES = 1_000  # per test
MAX_CHANGES = 8  # of the store, in each generation
MAX_STEPS = 20


def draw_store(draw: random.Random, *, restores: int) -> list[list[Evacuation]]:
    """Return the changes of a store, a list for each generation.

    A restored store starts with the first few changes of the generation before, and
    then uses their successors' revision numbers again.
    """
    generations: list[list[Evacuation]] = []
    for generation in range(restores + 1):
        lost = generations[-1] if generations else []
        changes = [
            evacuation(
                change.data_centre,
                written_at=Revision(generation=generation, number=change.revision),
                is_active=change.is_active,
            )
            for change in lost[: draw.randint(0, len(lost))]
        ]
        active = set(store_at(changes, len(changes)))
        for number in range(len(changes) + 1, draw.randint(1, MAX_CHANGES) + 1):
            data_centre = draw.choice(DATA_CENTRES)
            active ^= {data_centre}
            written_at = Revision(generation=generation, number=number)
            is_active = data_centre in active
            changes.append(
                evacuation(data_centre, written_at=written_at, is_active=is_active)
            )
        generations.append(changes)
    return generations


@dataclass(kw_only=True)
class Model:
    """All that was ever received about one data centre.

    Attributes:
        states: Whether it is evacuated, by the revision that says so.
        absences: Revisions of inconclusive reads that did not find an order.
    """

    states: dict[Revision, bool] = field(default_factory=dict)
    absences: list[Revision] = field(default_factory=list)

    def read(
        self, found: Revision | None, *, revision: Revision, is_conclusive: bool
    ) -> None:
        """Receive what a full read says of the data centre."""
        if found is not None:
            self.states[found] = True
        if found is not None or is_conclusive:
            self.states[revision] = found is not None
        else:
            self.absences.append(revision)

    @property
    def is_evacuated(self) -> bool:
        """Whether the newest statement is an order.

        An inconclusive read without an order is a statement if the store once had one
        in the same generation. Otherwise a restore may have lost the order.
        """
        states = dict(self.states)
        for absence in self.absences:
            if any(
                known.generation == absence.generation and known <= absence
                for known in self.states
            ):
                states[absence] = False
        return states[max(states)] if states else False


class HistoryTests(unittest.TestCase):
    """Updates and reads arrive late, in any order and repeatedly."""

    def _check(self, *, seed: int, restores: int, has_inconclusive: bool) -> None:
        draw = random.Random(seed)
        generations = draw_store(draw, restores=restores)
        known = Evacuations()
        models = {name: Model() for name in DATA_CENTRES}
        for _ in range(draw.randint(1, MAX_STEPS)):
            changes = draw.choice(generations)
            number = draw.randint(0, len(changes))
            generation = generations.index(changes)
            if number and draw.random() < 0.6:
                update = changes[number - 1]
                known = known.joined((update,))
                models[update.data_centre].states[update.written_at] = update.is_active
            else:
                revision = Revision(generation=generation, number=number)
                found = store_at(changes, number)
                is_conclusive = not has_inconclusive or draw.random() < 0.5
                known = known.as_read(
                    found, revision=revision, is_conclusive=is_conclusive
                )
                for name, model in models.items():
                    model.read(
                        found.get(name), revision=revision, is_conclusive=is_conclusive
                    )
            for name, model in models.items():
                self.assertIs(known.is_evacuated(name), model.is_evacuated, name)

    def _check_all(self, *, restores: int, has_inconclusive: bool = False) -> None:
        for seed in range(HISTORIES):
            with self.subTest(seed=seed):
                self._check(
                    seed=seed, restores=restores, has_inconclusive=has_inconclusive
                )

    def test_without_restore(self):
        """A late order never returns after a read without it."""
        self._check_all(restores=0)

    def test_one_restore(self):
        """The same across a restore of the store."""
        self._check_all(restores=1)

    def test_inconclusive_reads(self):
        """The same while orders that restores lost may be written again."""
        self._check_all(restores=2, has_inconclusive=True)
