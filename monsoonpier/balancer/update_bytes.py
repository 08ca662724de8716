"""How much of a gossip message an update takes, at the most."""

from monsoonpier.model.target import PACKED_ADDRESS_BYTES, TargetRecord
from monsoonpier.wire.frames import SilenceBatch, SilenceReport

__all__ = ["batch_bytes", "record_bytes", "report_bytes"]

# What is left of an encoded update without its texts and keys.
RECORD_BYTES = 50
REPORT_BYTES = 32
BATCH_BYTES = 30
KEY_BYTES = 10
ADDRESS_BYTES = 2 + PACKED_ADDRESS_BYTES


def record_bytes(record: TargetRecord) -> int:
    """Return about how many bytes a record takes."""
    texts = (
        record.name,
        record.service,
        record.data_centre,
        record.ip,
        record.control,
    )
    addresses = ADDRESS_BYTES * len(record.addresses or ())
    fixed = RECORD_BYTES + len(record.instance) + addresses
    return fixed + sum(map(_text_bytes, texts))


def report_bytes(report: SilenceReport) -> int:
    """Return about how many bytes a report takes."""
    return REPORT_BYTES + _text_bytes(report.name) + _text_bytes(report.observer)


def batch_bytes(batch: SilenceBatch) -> int:
    """Return about how many bytes a batch takes."""
    return BATCH_BYTES + _text_bytes(batch.observer) + KEY_BYTES * len(batch.keys)


def _text_bytes(text: str) -> int:
    return len(text.encode())
