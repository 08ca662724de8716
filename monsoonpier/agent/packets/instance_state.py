"""What an agent knows of its target's current instance and its flows.

An agent that saw the instance start knows all of its flows. An agent that
started after its target does not. An agent that has found no listening target
for `ABSENT_SECONDS` knows that there are no flows.
"""

from monsoonpier.model.target import ABSENT_SECONDS

__all__ = ["InstanceState"]


class InstanceState:
    """The current instance and whether its flows are known. Does no I/O.

    Attributes:
        instance: Identifies the instance; empty before the target's first
            heartbeat.
        knows_all_flows: Whether the target owns no flow that the agent doesn't
            know.
    """

    def __init__(self) -> None:
        self.instance = b""
        self.knows_all_flows = False
        self._started_at: float | None = None
        self._no_listener_since: float | None = None

    @property
    def is_absent(self) -> bool:
        """Whether the agent has seen no listener and no heartbeat so far."""
        return not self.instance and self._no_listener_since is not None

    def is_replaced_by(self, instance: bytes) -> bool:
        """Return whether an instance replaces an earlier one."""
        return bool(self.instance) and instance != self.instance

    def observe_first(
        self, instance: bytes, *, is_first: bool, is_young: bool, now: float
    ) -> None:
        """Record the first instance from which a heartbeat arrives.

        Args:
            instance: Identifies the instance.
            is_first: Whether the agent has seen the instance from its start.
            is_young: Whether the instance started a short time ago, possibly
                before the agent. Its flows aren't known then, and its age is
                the least that it can be.
            now: The present time.
        """
        self.instance = instance
        self.knows_all_flows = is_first
        self._started_at = now if is_first or is_young else None

    def start(self, instance: bytes, *, now: float) -> None:
        """Record that an instance starts without any flow.

        Also called for the current instance when it ends, since it then owns
        no flow either.
        """
        self.instance = instance
        self.knows_all_flows = True
        self._started_at = now

    def note_no_listener(self, *, now: float) -> bool:
        """Record that nothing listens; return whether this is the first time."""
        is_new = self._no_listener_since is None
        if self._no_listener_since is None:
            self._no_listener_since = now
        # After that time, a target that stopped listening in order to leave has
        # ended, and a starting one would have sent a heartbeat.
        self.knows_all_flows = now - self._no_listener_since >= ABSENT_SECONDS
        return is_new

    def age_ms(self, *, now: float) -> int | None:
        """Return the instance's age in milliseconds, or ``None`` if unknown.

        If the flows aren't all known, it is the least age that is possible.
        """
        if self._started_at is None:
            return None
        return round((now - self._started_at) * 1000)
