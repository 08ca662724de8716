"""The order and pace of datagrams on slow links, in simulated time."""

import random
import unittest

from hypothesis import given, settings, strategies as st

from monsoonpier.link.schedule import (
    MAX_WAIT_SECONDS,
    LinkSchedule,
    Urgency,
)
from standins.link import Link
from standins.link_load import (
    PACKET_BYTES,
    WINDOW,
    SentDatagram,
    send_unscheduled,
    simulate,
    window,
)

RATES = (1e6, 2e6, 5e6, 10e6, 1e9)
SMALL = 100


def percentile(values: list[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def send_over(sent: list[SentDatagram], *, rate: float):
    """Return the datagrams that arrive over a link, the link and the schedule."""
    link = Link(bits_per_second=rate)
    arrived, schedule = simulate(sent, link=link)
    return arrived, link, schedule


class WindowTests(unittest.TestCase):
    """A burst of one caller's window of 16 large packets."""

    def test_loss_without_pacing(self) -> None:
        """Without pacing, a link of 2 Mbit/s loses five packets of the burst."""
        arrived = send_unscheduled(window(), Link(bits_per_second=2e6))
        self.assertEqual(arrived, WINDOW - 5)

    def test_none_is_lost(self) -> None:
        """With pacing, all 16 arrive in order, as fast as the link can send them."""
        for rate in RATES:
            with self.subTest(rate=rate):
                arrived, link, _ = send_over(window(), rate=rate)
                self.assertEqual([a.number for a in arrived], list(range(WINDOW)))
                self.assertEqual(link.queue_drops, 0)
                least = 8 * WINDOW * (PACKET_BYTES + 28) / rate
                self.assertLess(arrived[-1].at, 1.06 * least + 0.006)

    def test_duplicates_of_queued_packets(self) -> None:
        """Packets that are retransmitted while queued are sent once."""
        sent = window() + window(at=0.03)
        arrived, _, schedule = send_over(sent, rate=1e6)
        self.assertEqual(len(arrived), WINDOW + 4)  # four had left before 0.03 s
        self.assertEqual(schedule.dropped_by_reason, {"copy": WINDOW - 4})


class ManyCallersTests(unittest.TestCase):
    """Uploads, requests and heartbeats of 200 callers on one link."""

    SECONDS = 2.0

    def traffic(
        self, rate: float, *, share: float, seed: int = 3
    ) -> list[SentDatagram]:
        """Return windows that take ``share`` of the link's rate, and small packets."""
        draw = random.Random(seed)
        count = int(share * rate * self.SECONDS / 8 / (WINDOW * PACKET_BYTES))
        sent: list[SentDatagram] = []
        for number in range(max(1, min(count, 4_000))):
            at = draw.uniform(0, self.SECONDS)
            flow = 1 + number % 200
            sent += window(flow, at=at, first=WINDOW * number)
        small = min(2_000, int(0.05 * rate * self.SECONDS / 8 / SMALL))
        for number in range(small):
            at = draw.uniform(0, self.SECONDS)
            sent.append(
                SentDatagram(at=at, size=SMALL, flow=1_000 + number, number=number)
            )
        return sorted(sent, key=lambda one: one.at)

    def test_small_packets_go_first(self) -> None:
        """Under twice the link's rate, small packets wait at most 20 ms."""
        for rate in RATES[:-1]:
            with self.subTest(rate=rate):
                sent = self.traffic(rate, share=2.0)
                arrived, _, _ = send_over(sent, rate=rate)
                waits = [a.waited for a in arrived if a.size == SMALL]
                wanted = sum(one.size == SMALL for one in sent)
                self.assertEqual(len(waits), wanted)
                alone = 8 * (SMALL + 28) / rate
                self.assertLess(percentile(waits, 0.99) - alone, 0.02)

    def test_link_is_used_and_not_overrun(self) -> None:
        """Under twice the link's rate, the link is 90 % used and loses nothing."""
        for rate in RATES[:-1]:
            with self.subTest(rate=rate):
                arrived, link, _ = send_over(self.traffic(rate, share=2.0), rate=rate)
                self.assertEqual(link.queue_drops, 0)
                seconds = max(a.at for a in arrived)
                used = 8 * link.carried_bytes / rate / seconds
                self.assertGreater(used, 0.9)

    def test_wide_link(self) -> None:
        """On a link of 1,000 Mbit/s, 200 windows arrive without loss or delay."""
        sent = [one for flow in range(1, 201) for one in window(flow)]
        arrived, link, _ = send_over(sorted(sent, key=lambda s: s.at), rate=1e9)
        self.assertEqual(len(arrived), 200 * WINDOW)
        self.assertEqual(link.queue_drops, 0)
        self.assertLess(max(a.at for a in arrived), 0.036)

    def test_uploads_share_the_link(self) -> None:
        """A caller that fills the queue does not delay another's window much."""
        greedy = [one for n in range(6) for one in window(1, first=n * WINDOW)]
        modest = window(2, at=0.003)
        arrived, _, _ = send_over(greedy + modest, rate=2e6)
        done = max(a.at for a in arrived if a.flow == 2)
        self.assertLess(done, 2.4 * 8 * WINDOW * (PACKET_BYTES + 28) / 2e6)

    def test_uploads_progress_beside_small_packets(self) -> None:
        """Large packets make progress when small ones would fill the link."""
        small = [
            SentDatagram(at=n * 0.0004, size=SMALL, flow=1_000 + n, number=n)
            for n in range(3_000)
        ]
        sent = sorted(small + window(1, at=0.01), key=lambda one: one.at)
        arrived, _, _ = send_over(sent, rate=2e6)
        self.assertEqual(sum(a.flow == 1 for a in arrived), WINDOW)


class DropTests(unittest.TestCase):
    """Drops when the queues are full."""

    def test_control_is_not_dropped(self) -> None:
        """Heartbeats arrive without delay while flows' packets are dropped."""
        heartbeats = [
            SentDatagram(at=n * 0.1, size=90, number=n, urgency=Urgency.CONTROL)
            for n in range(20)
        ]
        uploads = [
            one
            for n in range(200)
            for one in window(n + 1, at=n * 0.01, first=n * WINDOW)
        ]
        sent = sorted(heartbeats + uploads, key=lambda one: one.at)
        arrived, _, schedule = send_over(sent, rate=1e6)
        waits = [a.waited for a in arrived if a.flow == 0]
        self.assertEqual(len(waits), 20)
        self.assertLess(max(waits), 0.025)
        self.assertGreater(schedule.dropped_by_reason["link full"], 1_000)

    def test_queued_bytes_are_bounded(self) -> None:
        """Queued bytes never exceed what the link sends in the longest wait."""
        schedule = LinkSchedule(bits_per_second=2e6)
        for flow in range(1, 500):
            for one in window(flow):
                schedule.enqueue(one.datagram)
        self.assertLess(schedule.queued_bytes, MAX_WAIT_SECONDS * 2e6 / 8)

    def test_control_alone_is_bounded_too(self) -> None:
        """Queued bytes are bounded even if all of them are control."""
        schedule = LinkSchedule(bits_per_second=2e6)
        for number in range(5_000):
            one = SentDatagram(at=0.0, number=number, urgency=Urgency.CONTROL)
            schedule.enqueue(one.datagram)
        self.assertLess(schedule.queued_bytes, MAX_WAIT_SECONDS * 2e6 / 8)

    def test_drops_from_longest_flow(self) -> None:
        """An overload by one flow drops no packet of another."""
        flood = [one for n in range(20) for one in window(1, first=n * WINDOW)]
        sent = flood + [SentDatagram(at=0.003, flow=2, number=1)]
        arrived, _, schedule = send_over(sent, rate=2e6)
        self.assertGreater(schedule.dropped_by_reason["link full"], 100)
        self.assertEqual(sum(a.flow == 2 for a in arrived), 1)


class OrderTests(unittest.TestCase):
    """Packets of one flow stay in order."""

    def test_small_end_of_an_upload(self) -> None:
        """A small last packet waits behind the flow's large ones."""
        sent = [*window(1), SentDatagram(at=0.002, size=SMALL, flow=1, number=WINDOW)]
        arrived, _, _ = send_over(sent, rate=2e6)
        self.assertEqual([a.number for a in arrived], list(range(WINDOW + 1)))

    @given(st.lists(st.tuples(st.integers(1, 5), st.integers(20, 1_400)), max_size=120))
    @settings(deadline=None, max_examples=80, derandomize=True)
    def test_any_mix(self, sizes: list[tuple[int, int]]) -> None:
        """Any burst keeps the order within each flow and loses nothing on the link."""
        sent = [
            SentDatagram(at=0.0, size=size, flow=flow, number=number)
            for number, (flow, size) in enumerate(sizes)
        ]
        arrived, link, schedule = send_over(sent, rate=5e6)
        self.assertEqual(link.queue_drops, 0)
        self.assertEqual(len(arrived) + schedule.dropped_by_reason.total(), len(sent))
        self.assertEqual((len(schedule), schedule.queued_bytes), (0, 0))
        for flow in range(1, 6):
            numbers = [a.number for a in arrived if a.flow == flow]
            self.assertEqual(numbers, sorted(numbers))
