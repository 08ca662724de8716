"""Delivers stream items in a bounded window; resends them until acknowledged."""

from monsoonpier.agent.tokens.actions import (
    Action,
    Credit,
    EndStream,
    RequestKey,
    StartStream,
)
from monsoonpier.agent.tokens.flows import Flow, Stream
from monsoonpier.wire.datagrams import (
    PART_BYTES,
    Item,
    StreamEnd,
    StreamOpen,
)

__all__ = ["STREAM_WINDOW", "StreamManager"]

STREAM_WINDOW = 32  # items read from the target and not yet acknowledged
STREAMS_PER_FLOW = 8
RESEND_SECONDS = 0.2
MAX_RESEND_SECONDS = 1.6


class StreamManager:
    """Manages the streams of all flows of one agent; does no I/O."""

    def __init__(self) -> None:
        self.open_streams = 0

    def open(self, flow: Flow, message: StreamOpen, *, now: float) -> list[Action]:
        """Start a stream; ignore duplicates, and streams above the flow's limit."""
        if message.request in flow.streams_by_id or message.request < flow.watermark:
            return []
        if len(flow.streams_by_id) >= STREAMS_PER_FLOW:
            return []
        flow.streams_by_id[message.request] = Stream(
            id=message.request,
            kind=message.kind,
            acked=message.after,
            last=message.after,
        )
        self.open_streams += 1
        key = RequestKey(flow.id, message.request)
        return [StartStream(key=key, kind=message.kind, after=message.after)]

    def add_item(
        self, flow: Flow, stream_id: int, number: int, body: bytes, *, now: float
    ) -> tuple[list[Action], list]:
        """Send one item from the target; end the stream if the item is too large.

        Returns:
            Actions and replies.
        """
        stream = flow.streams_by_id.get(stream_id)
        if stream is None or stream.end is not None or number <= stream.last:
            return [], []
        if len(body) > PART_BYTES:
            return self.end(flow, stream_id, "item too large", now=now)
        item = Item(
            flow=flow.id,
            request=stream_id,
            previous=stream.last,
            number=number,
            body=body,
        )
        if not stream.unacked_by_number:
            stream.resend_after = RESEND_SECONDS
            stream.resend_at = now + RESEND_SECONDS
        stream.last = number
        stream.unacked_by_number[number] = item
        return [], [item]

    def end(
        self,
        flow: Flow,
        stream_id: int,
        reason: str,
        *,
        now: float,
        reopen: bool = False,
    ) -> tuple[list[Action], list]:
        """End a stream after its last item; the end is resent until acknowledged."""
        stream = flow.streams_by_id.get(stream_id)
        if stream is None or stream.end is not None:
            return [], []
        stream.end = StreamEnd(
            flow=flow.id,
            request=stream_id,
            last=stream.last,
            reason=reason,
            reopen=reopen,
        )
        stream.resend_after = RESEND_SECONDS
        stream.resend_at = now + RESEND_SECONDS
        return [EndStream(key=RequestKey(flow.id, stream_id))], [stream.end]

    def acknowledge(
        self, flow: Flow, stream_id: int, up_to: int, *, now: float
    ) -> list[Action]:
        """Release acknowledged items and let the reader read as many more."""
        stream = flow.streams_by_id.get(stream_id)
        if stream is None:
            return []
        acked = [number for number in stream.unacked_by_number if number <= up_to]
        for number in acked:
            del stream.unacked_by_number[number]
        if acked:
            stream.acked = acked[-1]
            stream.resend_after = RESEND_SECONDS
            stream.resend_at = now + RESEND_SECONDS
        if stream.end is not None or not acked:
            return []
        return [Credit(key=RequestKey(flow.id, stream_id), items=len(acked))]

    def resend(self, flow: Flow, stream: Stream, *, now: float) -> list:
        """Return the items or the end to resend now, through another balancer."""
        if now < stream.resend_at:
            return []
        due = list(stream.unacked_by_number.values())
        if stream.end is not None and not due:
            due.append(stream.end)
        if due:
            flow.rotate_via()
        stream.resend_after = min(stream.resend_after * 2, MAX_RESEND_SECONDS)
        stream.resend_at = now + stream.resend_after
        return due

    def close(self, flow: Flow, stream_id: int) -> list[Action]:
        """Close a stream that its caller has ended."""
        if flow.streams_by_id.pop(stream_id, None) is None:
            return []
        self.open_streams -= 1
        return [EndStream(key=RequestKey(flow.id, stream_id))]

    def discard_flow(self, flow: Flow) -> list[Action]:
        """Close every stream of a flow that ends."""
        actions: list[Action] = []
        for stream_id in list(flow.streams_by_id):
            actions += self.close(flow, stream_id)
        return actions
