"""Loads state charts and computes their transitions."""

import tomllib
from dataclasses import dataclass
from functools import lru_cache
from pathlib import Path

__all__ = ["Chart", "load_chart"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Chart:
    """A state machine, such as the lifecycle of a process.

    An event without a transition from the current state leaves the state
    unchanged.

    Attributes:
        name: The name of the chart's file, without its suffix.
        initial: The state at the start.
        traits_by_state: The boolean properties of each state.
        events: All events.
        next_by_state_and_event: The transitions.
    """

    name: str
    initial: str
    traits_by_state: dict[str, dict[str, bool]]
    events: frozenset[str]
    next_by_state_and_event: dict[tuple[str, str], str]

    def step(self, state: str, event: str) -> str:
        """Return the state that follows ``state`` upon ``event``.

        Raises:
            ValueError: If the chart has no such state or event.
        """
        if state not in self.traits_by_state:
            raise ValueError(f"{self.name} has no state {state!r}")
        if event not in self.events:
            raise ValueError(f"{self.name} has no event {event!r}")
        return self.next_by_state_and_event.get((state, event), state)

    def has(self, state: str, trait: str) -> bool:
        """Return whether the state has the trait."""
        return self.traits_by_state[state].get(trait, False)


@lru_cache
def load_chart(name: str) -> Chart:
    """Return the chart in ``charts/<name>.toml``, read once per process.

    Raises:
        ValueError: If a transition names a state that the chart doesn't have.
    """
    # Avoids importlib.resources, whose import takes 29 ms, a tenth of a daemon's start.
    text = (Path(__file__).parent / f"{name}.toml").read_text(encoding="utf-8")
    content = tomllib.loads(text)
    states = content["states"]
    transitions = content["transitions"]
    next_by_state_and_event = {
        (source, transition["event"]): transition["to"]
        for transition in transitions
        for source in transition["from"]
    }
    named = {state for state, _ in next_by_state_and_event}
    named |= {transition["to"] for transition in transitions} | {content["initial"]}
    if unknown := named - states.keys():
        raise ValueError(f"{name} has no states {sorted(unknown)}")
    return Chart(
        name=name,
        initial=content["initial"],
        traits_by_state=states,
        events=frozenset(transition["event"] for transition in transitions),
        next_by_state_and_event=next_by_state_and_event,
    )
