"""Leases on their holder's clock, and state charts."""

import unittest

from monsoonpier.charts import load_chart
from monsoonpier.store.lease import Lease


class LeaseTests(unittest.TestCase):
    """A holder must not act after its lease has expired."""

    def _grant(self) -> Lease:
        return Lease().granted(7, ttl_seconds=30, asked_at=100.0)

    def test_stops_before_expiry(self):
        """The holder stops acting before the store expires the lease."""
        lease = self._grant()
        self.assertTrue(lease.may_act(now=126.0))
        self.assertFalse(lease.may_act(now=127.0))

    def test_renewal_after_expiry(self):
        """A renewal that succeeds after the lease expired does not revive it."""
        lease = self._grant()
        late = lease.renewed(ttl_seconds=30, asked_at=126.0, now=140.0)
        self.assertFalse(late.may_act(now=140.0))
        again = late.granted(8, ttl_seconds=30, asked_at=141.0)
        self.assertTrue(again.may_act(now=142.0))

    def test_failed_renewal(self):
        """A renewal without a response does not change the expiry."""
        lease = self._grant().renewal_failed()
        self.assertEqual(lease.state, "doubtful")
        self.assertTrue(lease.may_act(now=110.0))
        self.assertFalse(lease.may_act(now=130.0))

    def test_lost(self):
        """A lease that the store reports as ended can't be used."""
        self.assertFalse(self._grant().lost().may_act(now=101.0))


class ChartTests(unittest.TestCase):
    """State charts read from files; a state ignores events it does not list."""

    def test_every_chart_loads(self):
        """Each chart's initial state is one of its states."""
        for name in ("target", "process", "lease"):
            chart = load_chart(name)
            self.assertIn(chart.initial, chart.traits_by_state)

    def test_steps(self):
        """A listed event changes the state; others leave it unchanged."""
        chart = load_chart("process")
        self.assertEqual(chart.step("starting", "configured"), "running")
        self.assertEqual(chart.step("leaving", "configured"), "leaving")
        self.assertEqual(chart.step("leaving", "terminate"), "stopped")

    def test_unknown_names(self):
        """Unknown states and events raise `ValueError`."""
        chart = load_chart("lease")
        with self.assertRaises(ValueError):
            chart.step("held", "eaten")
        with self.assertRaises(ValueError):
            chart.step("melted", "lost")
