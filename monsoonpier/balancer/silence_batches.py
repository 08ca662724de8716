"""Reports of silence in batches, and one by one."""

import itertools
from collections.abc import Callable, Iterable, Iterator

from monsoonpier.model.target import TargetRecord
from monsoonpier.wire.frames import MAX_BATCH_KEYS, SilenceBatch, SilenceReport

__all__ = ["batched", "unbatched"]


def batched(
    silences: Iterable[SilenceReport], *, record_of: Callable[[str], TargetRecord]
) -> Iterator[SilenceBatch]:
    """Yield batches of an observer's reports.

    Args:
        silences: The reports, with consecutive numbers.
        record_of: Returns the record of a target that they name.
    """
    for silent, same in itertools.groupby(silences, key=lambda each: each.silent):
        same = list(same)
        for start in range(0, len(same), MAX_BATCH_KEYS):
            first, *_ = part = same[start : start + MAX_BATCH_KEYS]
            yield SilenceBatch(
                observer=first.observer,
                observer_epoch=first.observer_epoch,
                number=first.number,
                silent=silent,
                keys=tuple(record_of(each.name).process_key for each in part),
            )


def unbatched(
    batch: SilenceBatch, *, record_of: Callable[[bytes], TargetRecord | None]
) -> Iterator[SilenceReport]:
    """Yield the reports of a batch.

    Args:
        batch: The batch.
        record_of: Returns the record of an agent process by its key, or ``None`` if
            it isn't known; its report is left out.
    """
    for number, key in enumerate(batch.keys, start=batch.number):
        record = record_of(key)
        if record is not None:
            yield SilenceReport(
                name=record.name,
                epoch=record.epoch,
                observer=batch.observer,
                silent=batch.silent,
                observer_epoch=batch.observer_epoch,
                number=number,
            )
