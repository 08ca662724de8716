"""The client library for callers of a service.

from monsoonpier.caller import Caller, Done

async with Caller("192.0.2.10:7001") as caller:
    match await caller.request("reading", b"14.2N 91.8W", deadline=2.0):
        case Done(body=body):
            print(body)
"""

from monsoonpier.caller.client import Caller, StreamItem
from monsoonpier.caller.retries import RetryBudget
from monsoonpier.model.outcome import (
    Cancelled,
    Done,
    FlowLost,
    Late,
    NotRun,
    Outcome,
    Refused,
    Unknown,
)

__all__ = [
    "Caller",
    "Cancelled",
    "Done",
    "FlowLost",
    "Late",
    "NotRun",
    "Outcome",
    "Refused",
    "RetryBudget",
    "StreamItem",
    "Unknown",
]
