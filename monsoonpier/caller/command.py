"""The command ``monsoonpier call``, which sends one request or reads a stream."""

import sys
from dataclasses import dataclass

from monsoonpier.caller.client import Caller
from monsoonpier.exits import ExitStatus
from monsoonpier.model.outcome import Done, NotRun, Outcome, Refused

__all__ = ["CallArguments", "run_call"]


@dataclass(frozen=True, slots=True, kw_only=True)
class CallArguments:
    """The arguments of ``monsoonpier call``; ``deadline`` is in seconds."""

    address: str
    kind: str
    body: bytes
    stream: bool
    after: int
    items: int
    idempotent: bool
    deadline: float


async def run_call(call: CallArguments) -> int:
    """Make the call and print the result; return the exit status."""
    try:
        caller = Caller(call.address)
    except ValueError as error:
        print(f"monsoonpier: {error}", file=sys.stderr)
        return ExitStatus.BAD_INPUT
    async with caller:
        if call.stream:
            return await _print_stream(caller, call)
        outcome = await caller.request(
            call.kind, call.body, deadline=call.deadline, idempotent=call.idempotent
        )
    return _print_outcome(outcome)


async def _print_stream(caller: Caller, call: CallArguments) -> int:
    count = 0
    async for item in caller.stream(call.kind, after=call.after):
        print(f"{item.number}\t{item.body.decode(errors='replace')}", flush=True)
        count += 1
        if count == call.items:
            return ExitStatus.OK
    return ExitStatus.OK


def _print_outcome(outcome: Outcome) -> int:
    match outcome:
        case Done(status=status, body=body):
            sys.stdout.buffer.write(body)
            sys.stdout.flush()
            return ExitStatus.OK if status < 400 else ExitStatus.BAD_INPUT
        case (
            NotRun(reason=reason, retry_after=wait)
            | Refused(reason=reason, retry_after=wait)
        ):
            print(f"not run: {reason}; retry after {wait:.2f} s", file=sys.stderr)
            return ExitStatus.NOT_RUN
        case _:
            print(f"may have run: {outcome}", file=sys.stderr)
            return ExitStatus.MAY_HAVE_RUN
