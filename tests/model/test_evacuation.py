"""Tests of evacuation orders that arrive in any order."""

import unittest
from itertools import permutations

import msgspec
from hypothesis import given, settings, strategies as st

from monsoonpier.model.evacuation import MAX_EVACUATIONS, Evacuation, Evacuations
from monsoonpier.model.revision import Revision

DATA_CENTRES = ("dc-1", "dc-2", "dc-3")


def order(
    data_centre: str, revision: int, *, active: bool = True, generation: int = 0
) -> Evacuation:
    """Return an order, or its revocation."""
    return Evacuation(
        data_centre=data_centre,
        revision=revision,
        is_active=active,
        generation=generation,
    )


@st.composite
def histories(draw) -> list[Evacuation]:
    """Return the history of a store: each revision changes one data centre."""
    length = draw(st.integers(min_value=0, max_value=12))
    active: set[str] = set()
    history = []
    for revision in range(1, length + 1):
        data_centre = draw(st.sampled_from(DATA_CENTRES))
        active ^= {data_centre}
        history.append(order(data_centre, revision, active=data_centre in active))
    return history


def at(number: int, *, generation: int = 0) -> Revision:
    return Revision(generation=generation, number=number)


def store_at(history: list[Evacuation], revision: int) -> dict[str, Revision]:
    """Return the orders in the store at that revision."""
    found: dict[str, Revision] = {}
    for update in history[:revision]:
        found.pop(update.data_centre, None)
        if update.is_active:
            found[update.data_centre] = update.written_at
    return found


class EvacuationsTests(unittest.TestCase):
    """Merges of orders, and reads of the store."""

    def test_order_and_deletion(self):
        """The later of an order and its deletion wins, whichever arrives first."""
        updates = (order("dc-1", 5), order("dc-1", 9, active=False))
        for received in (updates, updates[::-1]):
            with self.subTest(received=received):
                known = Evacuations()
                for update in received:
                    known = known.joined((update,))
                self.assertFalse(known.is_evacuated("dc-1"))

    def test_unknown_data_centre(self):
        """A data centre without any order isn't evacuated."""
        known = Evacuations().joined((order("dc-1", 5),))
        self.assertFalse(known.is_evacuated("dc-2"))
        self.assertEqual(known.active, {"dc-1"})

    def test_read_finds_deletion(self):
        """An order that a later read doesn't find has been deleted."""
        known = Evacuations().joined((order("dc-1", 5),))
        self.assertFalse(known.as_read({}, revision=at(8)).is_evacuated("dc-1"))

    def test_old_read(self):
        """A read from before an order doesn't revoke it."""
        known = Evacuations().joined((order("dc-1", 5),))
        self.assertTrue(known.as_read({}, revision=at(4)).is_evacuated("dc-1"))

    def test_known_update(self):
        """Updates that are known already leave the same object."""
        known = Evacuations().joined((order("dc-1", 5),))
        self.assertIs(known.joined((order("dc-1", 5), order("dc-1", 3))), known)

    def test_bounded(self):
        """Beyond the limit, revoked orders are dropped first."""
        updates = [
            order(f"dc-{n}", n + 1, active=n < MAX_EVACUATIONS)
            for n in range(2 * MAX_EVACUATIONS)
        ]
        known = Evacuations().joined(updates)
        self.assertEqual(len(known.known), MAX_EVACUATIONS)
        self.assertEqual(len(known.active), MAX_EVACUATIONS)

    @given(histories(), st.data())
    @settings(max_examples=300, deadline=None, derandomize=True)
    def test_never_back(self, history, data):
        """The known state never goes back, whatever updates and reads arrive.

        It is the store's state at the newest revision that any of them was of,
        or at a later one.
        """
        known = Evacuations()
        newest_by_data_centre: dict[str, int] = {}
        steps = data.draw(st.lists(st.integers(0, len(history)), max_size=20))
        for step in steps:
            if step and data.draw(st.booleans()):
                update = history[step - 1]
                known = known.joined((update,))
                revisions = {update.data_centre: update.revision}
            else:
                known = known.as_read(store_at(history, step), revision=at(step))
                revisions = dict.fromkeys(DATA_CENTRES, step)
            for data_centre, revision in revisions.items():
                newest_by_data_centre[data_centre] = max(
                    revision, newest_by_data_centre.get(data_centre, 0)
                )
        for data_centre in DATA_CENTRES:
            newest = newest_by_data_centre.get(data_centre, 0)
            self.assertEqual(
                known.is_evacuated(data_centre),
                data_centre in store_at(history, newest),
            )

    @given(histories(), st.randoms(use_true_random=False))
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_any_order_and_twice(self, history, shuffle):
        """The same updates in any order, also repeated, give the same state."""
        updates = history + history[::2]
        shuffle.shuffle(updates)
        known = Evacuations()
        for update in updates:
            known = known.joined((update,))
        self.assertEqual(known, Evacuations().joined(history))


@st.composite
def restored_histories(draw) -> tuple[list[Evacuation], list[Evacuation]]:
    """Return the history of a store until a restore from a backup, and after it.

    Revision numbers after the restore were used before it.
    """
    before = draw(histories())
    copied = before[: draw(st.integers(0, len(before)))]
    since = [
        order(
            update.data_centre, update.revision, active=update.is_active, generation=1
        )
        for update in copied
    ]
    active = set(store_at(copied, len(copied)))
    for number in range(len(copied) + 1, len(copied) + 1 + draw(st.integers(0, 8))):
        data_centre = draw(st.sampled_from(DATA_CENTRES))
        active ^= {data_centre}
        since.append(
            order(data_centre, number, active=data_centre in active, generation=1)
        )
    return before, since


class RestoreTests(unittest.TestCase):
    """The store is restored from a backup, and its numbers are used again."""

    def test_smaller_number_of_a_newer_generation(self):
        """An order after the restore is accepted and revoked, in any order."""
        updates = (
            order("dc-1", 70, active=False),
            order("dc-1", 61, generation=1),
            order("dc-1", 62, active=False, generation=1),
        )
        for count, expected in ((2, True), (3, False)):
            for received in permutations(updates[:count]):
                with self.subTest(received=received):
                    known = Evacuations()
                    for update in received:
                        known = known.joined((update,))
                    self.assertIs(known.is_evacuated("dc-1"), expected)

    def test_update_without_generation(self):
        """Updates without a generation, sent during upgrades, have generation 0."""
        raw = msgspec.msgpack.encode(["dc-1", 70, True])
        update = msgspec.msgpack.decode(raw, type=Evacuation)
        self.assertEqual(update, order("dc-1", 70))

    def test_not_yet_written_again(self):
        """An order that the backup lacks stays in force until a conclusive read."""
        known = Evacuations().joined((order("dc-1", 70),))
        reading = at(60, generation=1)
        kept = known.as_read({}, revision=reading, is_conclusive=False)
        self.assertTrue(kept.is_evacuated("dc-1"))
        self.assertFalse(kept.as_read({}, revision=reading).is_evacuated("dc-1"))

    def test_before_conclusive_read(self):
        """A new process accepts such an order from a peer until a conclusive read."""
        reading = at(60, generation=1)
        updates = (order("dc-1", 70), order("dc-2", 59, generation=1))
        fresh = Evacuations().as_read({}, revision=reading, is_conclusive=False)
        self.assertEqual(fresh.joined(updates).active, {"dc-1"})
        later = Evacuations().as_read({}, revision=reading)
        self.assertEqual(later.joined(updates).active, set())

    def test_order_in_backup(self):
        """A revoked order is in force again if the backup has it."""
        known = Evacuations().joined((order("dc-1", 70, active=False),))
        found = {"dc-1": at(50, generation=1)}
        known = known.as_read(found, revision=at(60, generation=1), is_conclusive=False)
        self.assertTrue(known.is_evacuated("dc-1"))

    @given(restored_histories(), st.data())
    @settings(max_examples=300, deadline=None, derandomize=True)
    def test_any_order_across_a_restore(self, both, data):
        """Updates and reads of both generations arrive in any order and repeatedly.

        The known state is the store's at the newest revision that any of them
        was of.
        """
        known = Evacuations()
        newest_by_data_centre: dict[str, Revision] = {}
        for _ in range(data.draw(st.integers(0, 20))):
            generation = data.draw(st.integers(0, 1))
            history = both[generation]
            step = data.draw(st.integers(0, len(history)))
            if step and data.draw(st.booleans()):
                update = history[step - 1]
                known = known.joined((update,))
                revisions = {update.data_centre: update.written_at}
            else:
                reading = at(step, generation=generation)
                known = known.as_read(store_at(history, step), revision=reading)
                revisions = dict.fromkeys(DATA_CENTRES, reading)
            for data_centre, revision in revisions.items():
                newest = newest_by_data_centre.get(data_centre, revision)
                newest_by_data_centre[data_centre] = max(revision, newest)
        for data_centre, newest in newest_by_data_centre.items():
            held = store_at(both[newest.generation], newest.number)
            self.assertEqual(known.is_evacuated(data_centre), data_centre in held)
