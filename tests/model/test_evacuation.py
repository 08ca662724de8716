"""Tests of evacuation orders that arrive in any order."""

import unittest
from itertools import permutations

import msgspec
from hypothesis import given, settings, strategies as st

from monsoonpier.model.evacuation import MAX_EVACUATIONS, Evacuation, Evacuations
from monsoonpier.model.revision import Revision

PLACES = ("dc-1", "dc-2", "dc-3")


def order(
    place: str, revision: int, *, active: bool = True, generation: int = 0
) -> Evacuation:
    """Return an order, or its revocation."""
    return Evacuation(
        data_centre=place, revision=revision, is_active=active, generation=generation
    )


@st.composite
def histories(draw) -> list[Evacuation]:
    """Return the history of a store: each revision changes one data centre."""
    length = draw(st.integers(min_value=0, max_value=12))
    active: set[str] = set()
    history = []
    for revision in range(1, length + 1):
        place = draw(st.sampled_from(PLACES))
        active ^= {place}
        history.append(order(place, revision, active=place in active))
    return history


def at(number: int, *, generation: int = 0) -> Revision:
    return Revision(generation=generation, number=number)


def store_at(history: list[Evacuation], revision: int) -> dict[str, Revision]:
    """Return the orders in the store at that revision."""
    found: dict[str, Revision] = {}
    for word in history[:revision]:
        found.pop(word.data_centre, None)
        if word.is_active:
            found[word.data_centre] = word.written_at
    return found


class EvacuationsTests(unittest.TestCase):
    """Merges of orders, and reads of the store."""

    def test_order_and_deletion(self):
        """The later of an order and its deletion wins, whichever arrives first."""
        words = (order("dc-1", 5), order("dc-1", 9, active=False))
        for heard in (words, words[::-1]):
            with self.subTest(heard=heard):
                known = Evacuations()
                for word in heard:
                    known = known.joined((word,))
                self.assertFalse(known.is_evacuated("dc-1"))

    def test_nobodys_word(self):
        """A data centre without any order isn't evacuated."""
        known = Evacuations().joined((order("dc-1", 5),))
        self.assertFalse(known.is_evacuated("dc-2"))
        self.assertEqual(known.active, {"dc-1"})

    def test_reading_finds_deletion(self):
        """An order that a later read doesn't find has been deleted."""
        known = Evacuations().joined((order("dc-1", 5),))
        self.assertFalse(known.as_read({}, revision=at(8)).is_evacuated("dc-1"))

    def test_old_reading(self):
        """A read from before an order doesn't revoke it."""
        known = Evacuations().joined((order("dc-1", 5),))
        self.assertTrue(known.as_read({}, revision=at(4)).is_evacuated("dc-1"))

    def test_same_word_is_no_news(self):
        """Updates that are known already leave the same object."""
        known = Evacuations().joined((order("dc-1", 5),))
        self.assertIs(known.joined((order("dc-1", 5), order("dc-1", 3))), known)

    def test_bounded(self):
        """Beyond the limit, revoked orders are dropped first."""
        words = [
            order(f"dc-{n}", n + 1, active=n < MAX_EVACUATIONS)
            for n in range(2 * MAX_EVACUATIONS)
        ]
        known = Evacuations().joined(words)
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
        newest_by_place: dict[str, int] = {}
        steps = data.draw(st.lists(st.integers(0, len(history)), max_size=20))
        for step in steps:
            if step and data.draw(st.booleans()):
                word = history[step - 1]
                known = known.joined((word,))
                heard = {word.data_centre: word.revision}
            else:
                known = known.as_read(store_at(history, step), revision=at(step))
                heard = dict.fromkeys(PLACES, step)
            for place, revision in heard.items():
                newest_by_place[place] = max(revision, newest_by_place.get(place, 0))
        for place in PLACES:
            newest = newest_by_place.get(place, 0)
            self.assertEqual(
                known.is_evacuated(place), place in store_at(history, newest)
            )

    @given(histories(), st.randoms(use_true_random=False))
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_any_order_and_twice(self, history, shuffle):
        """The same updates in any order, also repeated, give the same state."""
        words = history + history[::2]
        shuffle.shuffle(words)
        known = Evacuations()
        for word in words:
            known = known.joined((word,))
        self.assertEqual(known, Evacuations().joined(history))


@st.composite
def restored_histories(draw) -> tuple[list[Evacuation], list[Evacuation]]:
    """Return the history of a store until a restore from a backup, and after it.

    Revision numbers after the restore were used before it.
    """
    before = draw(histories())
    copied = before[: draw(st.integers(0, len(before)))]
    since = [
        order(word.data_centre, word.revision, active=word.is_active, generation=1)
        for word in copied
    ]
    active = set(store_at(copied, len(copied)))
    for number in range(len(copied) + 1, len(copied) + 1 + draw(st.integers(0, 8))):
        place = draw(st.sampled_from(PLACES))
        active ^= {place}
        since.append(order(place, number, active=place in active, generation=1))
    return before, since


class ReturnTests(unittest.TestCase):
    """The store is restored from a backup, and its numbers are used again."""

    def test_smaller_number_of_a_newer_generation(self):
        """An order after the restore is accepted and revoked, in any order."""
        words = (
            order("dc-1", 70, active=False),
            order("dc-1", 61, generation=1),
            order("dc-1", 62, active=False, generation=1),
        )
        for count, expected in ((2, True), (3, False)):
            for heard in permutations(words[:count]):
                with self.subTest(heard=heard):
                    known = Evacuations()
                    for word in heard:
                        known = known.joined((word,))
                    self.assertIs(known.is_evacuated("dc-1"), expected)

    def test_word_of_a_process_that_knows_no_generation(self):
        """Updates without a generation, sent during upgrades, have generation 0."""
        raw = msgspec.msgpack.encode(["dc-1", 70, True])
        word = msgspec.msgpack.decode(raw, type=Evacuation)
        self.assertEqual(word, order("dc-1", 70))

    def test_not_yet_written_again(self):
        """An order that the backup lacks stays in force until a conclusive read."""
        known = Evacuations().joined((order("dc-1", 70),))
        reading = at(60, generation=1)
        kept = known.as_read({}, revision=reading, is_conclusive=False)
        self.assertTrue(kept.is_evacuated("dc-1"))
        self.assertFalse(kept.as_read({}, revision=reading).is_evacuated("dc-1"))

    def test_told_before_conclusion(self):
        """A new process accepts such an order from a peer until a conclusive read."""
        reading = at(60, generation=1)
        words = (order("dc-1", 70), order("dc-2", 59, generation=1))
        fresh = Evacuations().as_read({}, revision=reading, is_conclusive=False)
        self.assertEqual(fresh.joined(words).active, {"dc-1"})
        later = Evacuations().as_read({}, revision=reading)
        self.assertEqual(later.joined(words).active, set())

    def test_in_the_copy(self):
        """A revoked order is in force again if the backup has it."""
        known = Evacuations().joined((order("dc-1", 70, active=False),))
        found = {"dc-1": at(50, generation=1)}
        known = known.as_read(found, revision=at(60, generation=1), is_conclusive=False)
        self.assertTrue(known.is_evacuated("dc-1"))

    @given(restored_histories(), st.data())
    @settings(max_examples=300, deadline=None, derandomize=True)
    def test_any_order_across_a_return(self, both, data):
        """Updates and reads of both generations arrive in any order and repeatedly.

        The known state is the store's at the newest revision that any of them
        was of.
        """
        known = Evacuations()
        newest_by_place: dict[str, Revision] = {}
        for _ in range(data.draw(st.integers(0, 20))):
            generation = data.draw(st.integers(0, 1))
            history = both[generation]
            step = data.draw(st.integers(0, len(history)))
            if step and data.draw(st.booleans()):
                word = history[step - 1]
                known = known.joined((word,))
                heard = {word.data_centre: word.written_at}
            else:
                reading = at(step, generation=generation)
                known = known.as_read(store_at(history, step), revision=reading)
                heard = dict.fromkeys(PLACES, reading)
            for place, revision in heard.items():
                newest = newest_by_place.get(place, revision)
                newest_by_place[place] = max(revision, newest)
        for place, newest in newest_by_place.items():
            held = store_at(both[newest.generation], newest.number)
            self.assertEqual(known.is_evacuated(place), place in held)
