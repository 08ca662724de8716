"""Loads a state chart and steps it: state and event in, state out."""

import logging
from dataclasses import dataclass, field
from functools import lru_cache
from importlib import resources

from ruamel.yaml import YAML
from transitions import Machine

__all__ = ["Chart", "load_chart"]

# An event that a state doesn't name is no fault here, and not worth a warning.
logging.getLogger("transitions").setLevel(logging.ERROR)


class _Model:
    """What ``transitions`` moves through the chart; lives for one step."""

    state: str = ""


@dataclass(frozen=True, kw_only=True)
class Chart:
    """One role's life. An event that a state does not name leaves it as it is."""

    name: str
    initial: str
    traits_by_state: dict[str, dict[str, bool]]
    _machine: Machine = field(repr=False)

    def step(self, state: str, event: str) -> str:
        """Return the state that follows ``state`` upon ``event``.

        Raises:
            ValueError: If the chart has no such state or event.
        """
        if state not in self.traits_by_state:
            raise ValueError(f"{self.name} has no state {state!r}")
        if event not in self._machine.events:
            raise ValueError(f"{self.name} has no event {event!r}")
        model = _Model()
        self._machine.add_model(model, initial=state)
        try:
            model.trigger(event)
            return model.state
        finally:
            self._machine.remove_model(model)

    def has(self, state: str, trait: str) -> bool:
        """Tell whether the chart gives the state that trait."""
        return self.traits_by_state[state].get(trait, False)


@lru_cache
def load_chart(name: str) -> Chart:
    """Return the chart in ``charts/<name>.yaml``, read once per process."""
    text = resources.files(__package__).joinpath(f"{name}.yaml").read_text()
    content = YAML(typ="safe", pure=True).load(text)
    states = content["states"]
    machine = Machine(
        model=None,
        states=list(states),
        initial=content["initial"],
        transitions=content["transitions"],
        auto_transitions=False,
        ignore_invalid_triggers=True,
    )
    return Chart(
        name=name,
        initial=content["initial"],
        traits_by_state={state: traits or {} for state, traits in states.items()},
        _machine=machine,
    )
