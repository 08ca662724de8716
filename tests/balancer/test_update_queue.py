"""Which updates a message of the membership protocol carries."""

import random
import unittest

import msgspec

from monsoonpier.balancer.silence_batches import batched, unbatched
from monsoonpier.balancer.update_bytes import batch_bytes, record_bytes, report_bytes
from monsoonpier.balancer.update_queue import MAX_UPDATES, UpdateQueue
from monsoonpier.model.evacuation import MAX_EVACUATIONS, Evacuation
from monsoonpier.wire.frames import (
    MAX_BATCH_KEYS,
    MAX_FRAME_BYTES,
    Gossip,
    SilenceBatch,
    SilenceReport,
)
from tests.rig import balancer, record

NOW = 100.0


def reports(count: int, *, silent: bool = True, first: int = 1) -> list[SilenceReport]:
    """Return an observer's reports on ``maps-0`` and the next targets."""
    return [
        SilenceReport(
            name=f"maps-{number}",
            epoch=1,
            observer="b2",
            silent=silent,
            observer_epoch=5,
            number=first + number,
        )
        for number in range(count)
    ]


def batch_of(silences: list[SilenceReport]) -> SilenceBatch:
    """Return the first batch of some reports."""
    return next(batched(silences, record_of=lambda name: record(name)))


class QueueTests(unittest.TestCase):
    """No update waits until others have been sent several times."""

    def setUp(self) -> None:
        self.queue: UpdateQueue[str] = UpdateQueue()

    def take(self, count: int = 2) -> tuple[str, ...]:
        """Return what a message carries that has room for a few."""
        return self.queue.take(count=count, room=100, max_sent=2).items

    def test_least_often_sent_first(self):
        """Each is sent once before any is sent again, and a new one goes first."""
        for name in "abcd":
            self.queue.add(name, name, size=10)
        self.assertEqual([self.take(), self.take()], [("a", "b"), ("c", "d")])
        self.queue.add("e", "e", size=10)
        self.assertEqual(self.take(), ("e", "a"))
        self.assertEqual(self.take(8), ("b", "c", "d", "e"))
        self.assertEqual(len(self.queue), 0)

    def test_newer_update_replaces_an_older_one(self):
        """A message carries the latest news of a subject alone."""
        self.queue.add("a", "old", size=10)
        self.take()
        self.queue.add("a", "new", size=10)
        self.assertEqual([self.take(), self.take(), self.take()], [("new",)] * 2 + [()])

    def test_room(self):
        """Sizes count, not only numbers."""
        for name in "abc":
            self.queue.add(name, name, size=45)
        self.assertEqual(self.take(8), ("a", "b"))

    def test_full_queue_drops_what_was_sent_most(self):
        """What has never been sent stays."""
        self.queue.add("old", "old", size=1)
        self.take()
        for number in range(MAX_UPDATES):
            self.queue.add(number, str(number), size=1)
        self.assertEqual(len(self.queue), MAX_UPDATES)
        everything = self.queue.take(count=9999, room=9999, max_sent=9)
        self.assertNotIn("old", everything.items)


class BatchTests(unittest.TestCase):
    """Batches carry the same reports as messages of their own would."""

    def test_both_ways(self):
        """Names, order and numbers are those of the reports."""
        silences = reports(MAX_BATCH_KEYS + 3) + reports(
            2, silent=False, first=MAX_BATCH_KEYS + 4
        )
        records_by_key = {
            record(each.name).process_key: record(each.name) for each in silences
        }
        batches = list(batched(silences, record_of=lambda name: record(name)))
        self.assertEqual([len(each.keys) for each in batches], [MAX_BATCH_KEYS, 3, 2])
        again = [
            report
            for batch in batches
            for report in unbatched(batch, record_of=records_by_key.get)
        ]
        self.assertEqual(again, silences)

    def test_unknown_and_restarted_agents(self):
        """A report on an agent process that isn't known here changes nothing."""
        table = balancer().table
        table.learn(record("maps-0", epoch=2), now=NOW)
        self.assertFalse(table.record_batch(batch_of(reports(2)), now=NOW))

    def test_batch_and_report_count_once(self):
        """A peer of an older build may relay what a batch has brought."""
        table = balancer().table
        table.learn(record("maps-0"), now=NOW)
        self.assertTrue(table.record_batch(batch_of(reports(1)), now=NOW))
        self.assertFalse(table.record_silence(reports(1)[0], now=NOW))

    def test_older_peers_get_reports(self):
        """An observer sends its reports in both forms, and a relay ignores one."""
        observer, relay = balancer("b2", host=2), balancer("b1", host=1)
        target = record("maps-0")
        for node in (observer, relay):
            node.table.learn(target, now=NOW)
        observer.peers.learn(relay.peers.own)
        relay.peers.learn(observer.peers.own)
        for silence in reports(1):
            marked = msgspec.structs.replace(silence, is_batched=True)
            observer.peers.queue_update(marked)
        gossip = observer.membership.extra_gossip(
            ("10.2.0.1", 9000), now=NOW, draw=random.Random(1)
        ).frame
        self.assertEqual([each.name for each in gossip.silences], ["maps-0"])
        relay.from_process(
            gossip, sender=("10.2.0.2", 9000), now=NOW, draw=random.Random(1)
        )
        self.assertFalse(relay.peers.has_silences)


class SizeTests(unittest.TestCase):
    """A message with all that it may carry is not too large to be read."""

    def test_sizes_are_not_too_small(self):
        """Each estimate is at least the encoded size."""
        long = "n" * 40
        target = record(long, epoch=2**42, service=long, ip="10.110.110.110")
        silence = msgspec.structs.replace(
            reports(1)[0], name=long, observer=long, epoch=2**42, observer_epoch=2**42
        )
        silence = msgspec.structs.replace(silence, number=2**20, is_batched=True)
        batch = batch_of(
            [msgspec.structs.replace(silence, name=f"{long}{n}") for n in range(9)]
        )
        for item, size in (
            (target, record_bytes(target)),
            (silence, report_bytes(silence)),
            (batch, batch_bytes(batch)),
        ):
            self.assertLessEqual(len(msgspec.msgpack.encode(item)), size)

    def test_full_message(self):
        """Records, reports, batches and evacuation orders share a message."""
        node = balancer()
        peers = node.peers
        for host in range(2, 6):
            peers.learn(balancer(f"b{host}", host=host).peers.own)
        for number, silence in enumerate(reports(200)):
            peers.queue_update(record(silence.name, epoch=2**42))
            peers.queue_update(silence)
            batch = batch_of(reports(20, first=100 * number + 1))
            peers.queue_update(batch)
        orders = tuple(
            Evacuation(
                data_centre=f"data-centre-{number}",
                revision=2**40,
                generation=3,
                is_active=True,
            )
            for number in range(MAX_EVACUATIONS)
        )
        message = peers.gossip(
            version=2**40,
            digest=b"d" * 8,
            is_answer=False,
            is_converged=True,
            evacuations=orders,
            store_generation=3,
            draw=random.Random(1),
        )
        self.assertTrue(message.batches and message.records)
        self.assertLess(len(msgspec.msgpack.encode(message)), MAX_FRAME_BYTES - 64)


class OlderGossip(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=8):
    """The first fields of a `Gossip`, as builds without batches define it."""

    sender: object
    version: int
    digest: bytes
    records: object = ()
    silences: tuple = ()
    balancers: object = ()
    is_answer: bool = False
    is_converged: bool = False
    evacuations: object = ()
    store_generation: int = 0


class OlderBuildTests(unittest.TestCase):
    """Builds with and without batches decode each other's gossip."""

    def test_both_ways(self):
        """An older build ignores batches; a message without any has none."""
        own = balancer().peers.own
        gossip = Gossip(
            sender=own, version=4, digest=b"d", batches=(batch_of(reports(2)),)
        )
        older = msgspec.msgpack.decode(msgspec.msgpack.encode(gossip), type=OlderGossip)
        self.assertEqual((older.version, older.silences), (4, ()))
        again = msgspec.msgpack.decode(msgspec.msgpack.encode(older), type=Gossip)
        self.assertEqual((again.version, again.batches), (4, ()))
