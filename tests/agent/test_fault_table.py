"""Injects single faults and pairs of faults into the logic without I/O."""

import itertools
import unittest
from collections.abc import Callable
from dataclasses import dataclass

from nose2.tools import params

from monsoonpier.agent.tokens.actions import Broke, NeverSent, Shed
from monsoonpier.model.outcome import Done, NotRun, Refused
from tests.rig import Rig

REQUESTS = 6
SECONDS_AFTER_REQUESTS = 12.0


@dataclass(frozen=True, kw_only=True)
class Fault:
    """One fault: its name, when it is injected (seconds), and its injection."""

    name: str
    at: float
    inject: Callable[[Rig], None]

    def __str__(self) -> str:
        return self.name


def _network(**changes) -> Callable[[Rig], None]:
    def inject(rig: Rig) -> None:
        for name, value in changes.items():
            setattr(rig.network, name, value)

    return inject


def _target(**changes) -> Callable[[Rig], None]:
    def inject(rig: Rig) -> None:
        for name, value in changes.items():
            setattr(rig.target, name, value)

    return inject


def _all_agents(method: str) -> Callable[[Rig], None]:
    def inject(rig: Rig) -> None:
        for name in rig.records:
            getattr(rig, method)(name)

    return inject


def _leave(rig: Rig) -> None:
    for name, owner in rig.holders.items():
        rig._do(name, owner.leave(now=rig.now))


def _kill_one(rig: Rig) -> None:
    rig.dead.add("maps-1")


def _cancel_all(rig: Rig) -> None:
    for session in rig.sessions:
        for number in list(session._transfers_by_request):
            rig.cancel(session, number)


FAULTS = (
    Fault(name="loss", at=0.0, inject=_network(drop=0.2)),
    Fault(name="duplicates", at=0.0, inject=_network(duplicate=0.5)),
    Fault(name="late copies", at=0.0, inject=_network(late_copy_seconds=3.0)),
    Fault(name="reordering", at=0.0, inject=_network(reorder=0.6)),
    Fault(name="first packets lost", at=0.0, inject=_network(drop_first=3)),
    Fault(name="slow target", at=0.0, inject=_target(seconds=1.9)),
    Fault(name="too slow target", at=0.0, inject=_target(seconds=4.0)),
    Fault(name="shedding", at=0.1, inject=_target(result=Shed(retry_after=0.2))),
    Fault(name="refused", at=0.1, inject=_target(result=NeverSent(reason="refused"))),
    Fault(name="broken", at=0.1, inject=_target(result=Broke(reason="reset"))),
    Fault(name="agents replaced", at=0.13, inject=_all_agents("replace_agent")),
    Fault(name="agent killed", at=0.13, inject=_kill_one),
    Fault(name="agents leave", at=0.13, inject=_leave),
    Fault(name="empty tables", at=0.12, inject=Rig.replace_balancers),
    Fault(name="caller cancels", at=0.15, inject=_cancel_all),
)
PAIRS = tuple(itertools.combinations(FAULTS, 2))


def _play(*faults: Fault, seed: int) -> tuple[Rig, list[bytes]]:
    """Send requests on one flow while faults are injected, then run to the end."""
    rig = Rig(seed=seed)
    for fault in faults:
        rig.at(fault.at, fault.inject, rig)
    session = rig.open()
    rig.run(0.1)
    bodies = []
    for number in range(REQUESTS):
        if not session.takes_work:
            break
        # Some bodies take several datagrams, whose parts get lost and reordered.
        body = b"work %d " % number + b"x" * (3000 * (number % 3))
        bodies.append(body)
        rig.request(session, "top-up", body)
        rig.run(0.03)
    rig.run(SECONDS_AFTER_REQUESTS)
    return rig, bodies


class FaultTableTests(unittest.TestCase):
    """Checks at-most-once execution and true outcomes under every fault."""

    def _check(self, rig: Rig, bodies: list[bytes]) -> None:
        for body in bodies:
            runs = rig.target.runs[body]
            outcome = rig.outcomes.get(body)
            self.assertIsNotNone(outcome, f"no final outcome for {body[:9]}")
            self.assertLessEqual(runs, 1, f"{body[:9]} ran twice: {outcome}")
            match outcome:
                case Done(body=answer):
                    self.assertEqual(answer, b"answer to " + body)
                case NotRun() | Refused():
                    self.assertEqual(runs, 0, f"{body[:9]}: false {outcome}")

    @params(*FAULTS)
    def test_alone(self, fault):
        """One fault causes no second run, false "not run" or wrong answer."""
        for seed in range(4):
            self._check(*_play(fault, seed=seed))

    @params(*PAIRS)
    def test_pairs(self, first, second):
        """Two faults cause no second run, false "not run" or wrong answer."""
        self._check(*_play(first, second, seed=7))

    def test_no_fault(self):
        """Without faults every request runs once and gets its answer."""
        rig, bodies = _play(seed=1)
        self.assertEqual(len(bodies), REQUESTS)
        for body in bodies:
            self.assertEqual(rig.target.runs[body], 1)
            self.assertIsInstance(rig.outcomes[body], Done)
