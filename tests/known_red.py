"""A nose2 plugin that collects the names of the tests that failed."""

from nose2.events import Plugin

__all__ = ["FailedNames"]


class FailedNames(Plugin):
    """Collects names in lists that all instances share."""

    alwaysOn = True  # noqa: N815 (nose2's own name)
    configSection = "failed-names"  # noqa: N815
    names: list[str] = []
    finished: list[str] = []

    def testOutcome(self, event) -> None:  # noqa: N802
        """Record a finished test and whether it failed; called by nose2."""
        name = event.test.id().split(" ")[0].split("\n")[0]
        if event.outcome != "subtest":
            self.finished.append(name)
        if event.outcome in ("failed", "error") or event.exc_info:
            self.names.append(name)
