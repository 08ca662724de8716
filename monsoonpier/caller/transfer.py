"""The caller's side of one request: sends its parts and collects the answer."""

from hashlib import blake2b

from monsoonpier.model.outcome import (
    Cancelled,
    Done,
    FlowLost,
    Late,
    NotRun,
    Outcome,
    Unknown,
)
from monsoonpier.wire.datagrams import (
    DIGEST_BYTES,
    MAX_PARTS,
    PART_BYTES,
    AnswerPart,
    Cancel,
    Fetch,
    FinalStatus,
    FinalStatusKind,
    Progress,
    RequestPart,
)

__all__ = ["Transfer"]

SEND_WINDOW = 48  # parts sent and not yet acknowledged by a progress message
FETCH_WINDOW = 32  # answer parts requested at a time
RESEND_PARTS = 8  # parts resent at a time
FIRST_RESEND_SECONDS = 0.1
MAX_RESEND_SECONDS = 1.0
FETCH_RESEND_SECONDS = 0.05  # resend delay while an answer arrives
REORDER_SECONDS = 0.03  # how late a part may arrive after its successors
GRACE_SECONDS = 0.25  # wait for the agent's final status after the deadline
SILENT_RESENDS = 6  # unanswered in a row; one more ends the request as lost


class Transfer:
    """State of one request and its answer; does no I/O.

    Methods return the messages to send, and ``outcome`` is set at the end.
    ``due`` is the time at which to call `poll` next.
    """

    def __init__(
        self,
        *,
        flow: bytes,
        token: bytes,
        request: int,
        kind: str,
        body: bytes,
        deadline: float,
        now: float,
    ) -> None:
        self._flow = flow
        self._token = token
        self._request = request
        self._kind = kind
        self._body = body
        self._digest = blake2b(body, digest_size=DIGEST_BYTES).digest()
        self._parts = max(1, -(-len(body) // PART_BYTES))
        self._deadline = deadline
        self._received_below = 0
        self._sent_below = 0
        self._sent_at_by_part: dict[int, float] = {}
        self._is_delivered = False
        self._is_cancelled = False
        self._status = 0
        self._answer_parts = 0
        self._answer_digest = b""
        self._answer_by_part: dict[int, bytes] = {}
        self._requested_below = 0
        self._resend_after = FIRST_RESEND_SECONDS
        self.due = now
        self._unanswered = 0
        self.outcome: Outcome | None = None
        self.mismatched_parts = 0

    @staticmethod
    def fits(body: bytes) -> bool:
        """Return whether a body is small enough to be sent."""
        return len(body) <= MAX_PARTS * PART_BYTES

    def start(self, *, acked: int, now: float) -> list:
        """Return the messages with the first parts."""
        self._set_due(now)
        return self._next_parts(acked, now=now)

    def cancel(self, *, acked: int, now: float) -> list:
        """Cancel the request; wait a short time for the agent's final status."""
        self._is_cancelled = True
        self._deadline = min(self._deadline, now + MAX_RESEND_SECONDS)
        return [self._make_cancel(acked)]

    def poll(self, *, acked: int, now: float) -> list:
        """Return the messages to resend at ``now``.

        Set the outcome if the deadline has passed or the agent doesn't respond.
        """
        if self.outcome is not None or now < self.due:
            return []
        if now >= self._deadline + GRACE_SECONDS:
            self.outcome = Cancelled() if self._is_cancelled else Late()
            return [self._make_cancel(acked)]
        self._unanswered += 1
        if self._unanswered > SILENT_RESENDS:
            self.outcome = FlowLost(reason="the holder of the flow is silent")
            return []
        self._resend_after = min(self._resend_after * 2, MAX_RESEND_SECONDS)
        self._set_due(now)
        if self._is_cancelled:
            return [self._make_cancel(acked)]
        if self._answer_parts:
            self._requested_below = 0
            return self._fetch_missing(acked, now=now)
        if self._is_delivered:
            return [Fetch(**self._common_fields(acked))]
        last = min(self._received_below + RESEND_PARTS, max(1, self._sent_below))
        return [
            self._make_part(number, acked, now=now)
            for number in range(self._received_below, last)
        ]

    def handle_progress(self, message: Progress, *, acked: int, now: float) -> list:
        """Resend overdue parts and send the next ones after a progress message."""
        self._reset_resend(now)
        if message.whole:
            self._is_delivered = True
            self._received_below = self._parts
            return []
        if message.received_below < self._received_below or self._is_delivered:
            return []
        self._received_below = message.received_below
        overdue = [
            number
            for number in message.missing[:RESEND_PARTS]
            if self._is_overdue(number, now=now)
        ]
        resend = [self._make_part(number, acked, now=now) for number in overdue]
        return resend + self._next_parts(acked, now=now)

    def _is_overdue(self, number: int, *, now: float) -> bool:
        """Return whether a part was sent long enough ago to count as lost."""
        sent_at = self._sent_at_by_part.get(number, now)
        return now - sent_at > REORDER_SECONDS

    def handle_answer_part(
        self, message: AnswerPart, *, acked: int, now: float
    ) -> list:
        """Store one part of the answer; set the outcome after the last one."""
        self._reset_resend(now)
        if not self._answer_parts:
            self._answer_parts = message.parts
            self._answer_digest = message.digest
            self._status = message.status
            self._requested_below = FETCH_WINDOW // 2
        matches = (
            message.parts == self._answer_parts
            and message.digest == self._answer_digest
            and message.part < message.parts
        )
        if not matches:
            self.mismatched_parts += 1
            return []
        self._answer_by_part[message.part] = message.body
        if len(self._answer_by_part) == self._answer_parts:
            self._finish_answer()
            return []
        if len(self._answer_by_part) + FETCH_WINDOW // 2 > self._requested_below:
            return self._fetch_missing(acked, now=now)
        return []

    def handle_final_status(self, message: FinalStatus) -> None:
        """Set the outcome of a request that ended without an answer."""
        if self.outcome is not None:
            return
        match message.kind:
            case FinalStatusKind.NOT_RUN if self._is_cancelled:
                self.outcome = Cancelled()
            case FinalStatusKind.NOT_RUN:
                self.outcome = NotRun(
                    reason=message.reason,
                    retry_after=message.retry_after_ms / 1000,
                    reopen=message.reopen,
                )
            case FinalStatusKind.LATE:
                self.outcome = Late(reason=message.reason)
            case FinalStatusKind.CANCELLED:
                self.outcome = Cancelled()
            case FinalStatusKind.UNKNOWN | FinalStatusKind.ALREADY_DONE:
                self.outcome = Unknown(reason=message.reason)

    def end_as_lost(self) -> None:
        """Set the outcome after the flow was lost."""
        if self.outcome is None:
            self.outcome = FlowLost()

    def _finish_answer(self) -> None:
        """Join the parts, check the digest and set the outcome."""
        body = b"".join(self._answer_by_part[n] for n in range(self._answer_parts))
        if blake2b(body, digest_size=DIGEST_BYTES).digest() != self._answer_digest:
            self.outcome = Unknown(reason="the answer's digest does not match")
            return
        self.outcome = Done(status=self._status, body=body)

    def _next_parts(self, acked: int, *, now: float) -> list:
        """Return the unsent parts within the send window."""
        end = min(self._parts, self._received_below + SEND_WINDOW)
        parts = [
            self._make_part(number, acked, now=now)
            for number in range(self._sent_below, end)
        ]
        self._sent_below = max(self._sent_below, end)
        return parts

    def _fetch_missing(self, acked: int, *, now: float) -> list:
        """Request the next missing parts of the answer."""
        missing = []
        for number in range(self._answer_parts):
            if number not in self._answer_by_part and number >= self._requested_below:
                missing.append(number)
                if len(missing) == FETCH_WINDOW:
                    break
        if not missing:
            return []
        self._requested_below = missing[-1] + 1
        self.due = min(self.due, now + self._resend_after)
        return [Fetch(**self._common_fields(acked), missing=tuple(missing))]

    def _make_part(self, number: int, acked: int, *, now: float) -> RequestPart:
        self._sent_at_by_part[number] = now
        start = number * PART_BYTES
        time_left = max(0.0, self._deadline - now)
        return RequestPart(
            **self._common_fields(acked),
            kind=self._kind,
            time_left_ms=int(time_left * 1000),
            part=number,
            parts=self._parts,
            digest=self._digest,
            body=self._body[start : start + PART_BYTES],
        )

    def _make_cancel(self, acked: int) -> Cancel:
        return Cancel(**self._common_fields(acked))

    def _common_fields(self, acked: int) -> dict:
        return {
            "flow": self._flow,
            "token": self._token,
            "request": self._request,
            "acked": acked,
        }

    def _reset_resend(self, now: float) -> None:
        """Reset the resend delay after a message from the agent."""
        self._unanswered = 0
        self._resend_after = FIRST_RESEND_SECONDS
        if self._answer_parts:
            self._resend_after = FETCH_RESEND_SECONDS
        self._set_due(now)

    def _set_due(self, now: float) -> None:
        self.due = min(now + self._resend_after, self._deadline + GRACE_SECONDS)
