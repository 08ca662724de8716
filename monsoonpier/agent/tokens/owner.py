"""Owns a target's flows, without I/O: handles packets, results and timers."""

import heapq
import random
from collections import Counter
from collections.abc import Iterable

from monsoonpier.agent.tokens.actions import (
    Action,
    Reply,
    RequestKey,
    ReturnOpen,
    RunResult,
)
from monsoonpier.agent.tokens.condition import TargetLifecycle
from monsoonpier.agent.tokens.flows import Flow
from monsoonpier.agent.tokens.requests import RequestManager
from monsoonpier.agent.tokens.streams import StreamManager
from monsoonpier.model.keys import KeyRing
from monsoonpier.model.service import Service
from monsoonpier.model.target import LoadReport
from monsoonpier.model.token import FlowToken, open_token, seal_token
from monsoonpier.wire.codec import Dropped
from monsoonpier.wire.datagrams import (
    Cancel,
    Close,
    Fetch,
    FlowUnknown,
    GoAway,
    Open,
    Opened,
    Ping,
    Pong,
    RequestPart,
    StreamAck,
    StreamOpen,
    caller_codec,
)
from monsoonpier.wire.frames import ForwardDatagram

__all__ = ["FlowOwner"]

UNUSED_FLOW_SECONDS = 10.0  # expiry of a flow without packets after its OPEN
IDLE_FLOW_SECONDS = 60.0
MIN_EXPIRY_SECONDS = 1.0  # extension for an expired flow with work in flight
GO_AWAY_INTERVAL_SECONDS = 0.5
LINGER_SECONDS = 5.0  # wait of a draining agent for idle callers to close flows
REJECTED_OPEN_RETRY_MS = 1_000


class FlowOwner:
    """Owns the flows of one target. Deterministic, and does no I/O.

    The process passes in datagrams, the target's results and the time, and
    executes the returned actions.
    """

    def __init__(
        self,
        *,
        token: FlowToken,
        keys: KeyRing,
        slots: int,
        connections: int,
    ) -> None:
        self._token = token
        self._keys = keys
        self._connections = connections
        self._flows_by_id: dict[bytes, Flow] = {}
        self._timers: list[tuple[float, bytes, int]] = []
        self._requests = RequestManager(slots=slots)
        self._streams = StreamManager()
        self._report_number = 0
        self._open_count = 0
        self._drain_deadline: float | None = None
        self._next_go_away_at = 0.0
        self.lifecycle = TargetLifecycle()
        self.service: Service | None = None
        self.dropped_by_reason: Counter[str] = Counter()
        self.rejected_opens = 0

    # Values for the process and its metrics

    @property
    def flows(self) -> int:
        """The number of open flows."""
        return len(self._flows_by_id)

    @property
    def requests(self) -> RequestManager:
        """The requests of all flows."""
        return self._requests

    @property
    def streams(self) -> int:
        """The number of open streams."""
        return self._streams.open_streams

    def load(self, *, now: float) -> LoadReport:
        """Return a load report with the next report number."""
        self._report_number += 1
        return LoadReport(
            number=self._report_number,
            in_flight=self._requests.in_flight,
            queued=self._requests.queued,
            flows=len(self._flows_by_id),
            service_ms=int(self._requests.service_seconds * 1000),
            age_ms=self.lifecycle.age_ms(now=now),
            condition=self.lifecycle.condition,
        )

    def is_finished(self, *, now: float) -> bool:
        """Return whether a draining agent may shut down.

        It waits for all work and, until the drain deadline, for callers to close
        their flows.
        """
        if self._drain_deadline is None or self._requests.in_flight:
            return False
        if any(flow.is_busy for flow in self._flows_by_id.values()):
            return False
        return not self._flows_by_id or now >= self._drain_deadline

    # Packets from callers

    def handle_datagram(
        self,
        frame: ForwardDatagram,
        *,
        via: tuple[str, int],
        now: float,
        draw: random.Random,
    ) -> list[Action]:
        """Handle a caller's packet that the balancer at ``via`` forwarded."""
        if frame.service != self._token.service:
            return self._count_drop("foreign_service")
        message = caller_codec.decode(frame.payload)
        if isinstance(message, Dropped):
            return self._count_drop(message.reason)
        if isinstance(message, Open):
            return self._handle_open(frame, message, via=via, now=now)
        token = open_token(message.token, flow=message.flow, keys=self._keys)
        if token is None:
            return self._count_drop("forged_token")
        flow = self._flows_by_id.get(message.flow)
        if flow is None or token != self._token.with_opening(flow.opening):
            if isinstance(message, Close):
                return []
            reply = FlowUnknown(flow=message.flow)
            return [Reply(via=via, ip=frame.ip, port=frame.port, message=reply)]
        flow.update_path(via, ip=frame.ip, port=frame.port)
        flow.expires = now + self._idle_seconds
        return self._handle_flow_message(flow, message, now=now, draw=draw)

    @property
    def _idle_seconds(self) -> float:
        """The idle timeout of flows in seconds, shorter while draining."""
        return IDLE_FLOW_SECONDS if self._drain_deadline is None else LINGER_SECONDS

    def _handle_open(
        self, frame: ForwardDatagram, message: Open, *, via: tuple[str, int], now: float
    ) -> list[Action]:
        """Open a flow, or reject it; repeat the reply to a duplicate."""
        flow = self._flows_by_id.get(message.flow)
        if flow is None:
            reason = self._flow_rejection_reason()
            if reason:
                self.rejected_opens += 1
                return [
                    ReturnOpen(
                        via=via,
                        ip=frame.ip,
                        port=frame.port,
                        payload=frame.payload,
                        tried=frame.tried,
                        reason=reason,
                        retry_after_ms=REJECTED_OPEN_RETRY_MS,
                    )
                ]
            self._open_count += 1
            flow = Flow(
                id=message.flow,
                opening=self._open_count,
                ip=frame.ip,
                port=frame.port,
                vias=[via],
                expires=now + UNUSED_FLOW_SECONDS,
            )
            self._flows_by_id[message.flow] = flow
            self._set_timer(flow.expires, flow.id, 0)
        token = self._token.with_opening(flow.opening)
        sealed = seal_token(token, flow=message.flow, keys=self._keys)
        flow.update_path(via, ip=frame.ip, port=frame.port)
        return self._make_replies(flow, [Opened(flow=message.flow, token=sealed)])

    def _flow_rejection_reason(self) -> str:
        """Return why new flows are rejected, or an empty string if they aren't."""
        if not self.lifecycle.takes_flows:
            return self.lifecycle.label
        if self.service is None:
            return "no configuration"
        if len(self._flows_by_id) >= self._connections:
            return "connections are used up"
        return ""

    def _handle_flow_message(
        self, flow: Flow, message, *, now: float, draw: random.Random
    ) -> list[Action]:
        """Handle a message on an open flow."""
        match message:
            case RequestPart():
                actions = self._requests.advance_watermark(flow, message.acked)
                is_new = message.request not in flow.requests_by_id
                more, replies = self._requests.receive_part(
                    flow,
                    message,
                    service=self.service,
                    lifecycle=self.lifecycle,
                    now=now,
                    draw=draw,
                )
                if is_new and message.request in flow.requests_by_id:
                    deadline = flow.requests_by_id[message.request].deadline
                    self._set_timer(deadline, flow.id, message.request)
                return actions + more + self._make_replies(flow, replies)
            case Fetch():
                actions = self._requests.advance_watermark(flow, message.acked)
                replies = self._requests.fetch(flow, message.request, message.missing)
                return actions + self._make_replies(flow, replies)
            case Cancel():
                actions = self._requests.advance_watermark(flow, message.acked)
                if message.request in flow.streams_by_id:
                    return actions + self._streams.close(flow, message.request)
                more, replies = self._requests.cancel(flow, message.request, now=now)
                return actions + more + self._make_replies(flow, replies)
            case StreamOpen():
                actions = self._requests.advance_watermark(flow, message.acked)
                return actions + self._open_stream(flow, message, now=now)
            case StreamAck():
                return self._streams.acknowledge(
                    flow, message.request, message.up_to, now=now
                )
            case Ping():
                actions = self._requests.advance_watermark(flow, message.acked)
                replies = [Pong(flow=flow.id)]
                if self.lifecycle.is_leaving:
                    replies.append(GoAway(flow=flow.id))
                return actions + self._make_replies(flow, replies)
            case Close():
                return self._end_flow(flow)
        return self._count_drop("unexpected")

    def _open_stream(
        self, flow: Flow, message: StreamOpen, *, now: float
    ) -> list[Action]:
        """Start a stream, or end it at once if there is none of its kind."""
        if self.lifecycle.is_leaving:
            return self._make_replies(flow, [GoAway(flow=flow.id)])
        kind = self.service and self.service.kinds_by_name.get(message.kind)
        if not kind or not kind.stream:
            actions = self._streams.open(flow, message, now=now)
            if not actions:
                return []
            _, replies = self._streams.end(
                flow, message.request, "no such stream", now=now
            )
            self._set_resend_timer(flow, message.request)
            return self._make_replies(flow, replies)
        return self._streams.open(flow, message, now=now)

    # Results from the target

    def run_ended(
        self, key: RequestKey, result: RunResult, *, now: float, draw: random.Random
    ) -> list[Action]:
        """Record the result of a request, reply to its caller and refill the slot."""
        had_enough_time = self._requests.had_enough_time(key)
        self.lifecycle = self.lifecycle.after_run(
            result, had_enough_time=had_enough_time, now=now
        )
        flow, replies = self._requests.finish_run(key, result, now=now, draw=draw)
        actions = self._make_replies(flow, replies) if flow else []
        return actions + self._fill_slots(now=now)

    def stream_item_read(
        self, key: RequestKey, number: int, body: bytes, *, now: float
    ) -> list[Action]:
        """Send an item that was read from the target to the stream's caller."""
        flow = self._flows_by_id.get(key.flow)
        if flow is None:
            return []
        actions, replies = self._streams.add_item(
            flow, key.request, number, body, now=now
        )
        if replies:
            self._set_resend_timer(flow, key.request)
        return actions + self._make_replies(flow, replies)

    def stream_ended(
        self, key: RequestKey, reason: str, *, reopen: bool, now: float
    ) -> list[Action]:
        """Send the end of a stream at the target to the stream's caller."""
        flow = self._flows_by_id.get(key.flow)
        if flow is None:
            return []
        actions, replies = self._streams.end(
            flow, key.request, reason, now=now, reopen=reopen
        )
        self._set_resend_timer(flow, key.request)
        return actions + self._make_replies(flow, replies)

    # Draining and timers

    def leave(self, *, now: float) -> list[Action]:
        """Start draining: reject new work and ask callers to use other agents."""
        if self._drain_deadline is not None:
            return []
        self.lifecycle = self.lifecycle.leave(now=now)
        self._drain_deadline = now + LINGER_SECONDS
        for flow in self._flows_by_id.values():
            flow.expires = min(flow.expires, self._drain_deadline)
            self._set_timer(flow.expires, flow.id, 0)
        return self._send_go_away(now=now)

    def stay(self, *, now: float) -> None:
        """Stop draining."""
        if self._drain_deadline is not None:
            self._drain_deadline = None
            self.lifecycle = self.lifecycle.stay(now=now)

    def tick(self, *, now: float, draw: random.Random) -> list[Action]:
        """Handle timers due by ``now``, repeat GoAway messages and fill free slots."""
        self.lifecycle = self.lifecycle.advance(now=now)
        actions: list[Action] = []
        while self._timers and self._timers[0][0] <= now:
            _, flow_id, number = heapq.heappop(self._timers)
            flow = self._flows_by_id.get(flow_id)
            if flow is not None:
                actions += self._handle_timer(flow, number, now=now)
        if self._drain_deadline is not None and now >= self._next_go_away_at:
            actions += self._send_go_away(now=now)
        return actions + self._fill_slots(now=now)

    def _handle_timer(self, flow: Flow, number: int, *, now: float) -> list[Action]:
        """End an expired flow or request, or resend a stream's items.

        ``number`` is the id of the request or stream; 0 means the flow itself.
        """
        if number == 0:
            if now >= flow.expires and not flow.is_working:
                return self._end_flow(flow)
            if now >= flow.expires:
                # A flow stays open while its requests are queued or running.
                flow.expires = now + MIN_EXPIRY_SECONDS
            self._set_timer(flow.expires, flow.id, 0)
            return []
        stream = flow.streams_by_id.get(number)
        if stream is not None:
            stream.has_timer = False
            replies = self._streams.resend(flow, stream, now=now)
            if stream.unacked_by_number or stream.end is not None:
                self._set_resend_timer(flow, number)
            return self._make_replies(flow, replies)
        actions, replies = self._requests.expire(flow, number, now=now)
        return actions + self._make_replies(flow, replies)

    def _fill_slots(self, *, now: float) -> list[Action]:
        """Dispatch queued requests to free slots."""
        runs, rejected = self._requests.next_runs(lifecycle=self.lifecycle, now=now)
        actions: list[Action] = list(runs)
        for flow, replies in rejected:
            actions += self._make_replies(flow, replies)
        return actions

    def _send_go_away(self, *, now: float) -> list[Action]:
        """Ask the callers of all flows to open flows at other agents."""
        self._next_go_away_at = now + GO_AWAY_INTERVAL_SECONDS
        actions: list[Action] = []
        for flow in self._flows_by_id.values():
            # The balancer used last may have failed.
            flow.rotate_via()
            actions += self._make_replies(flow, [GoAway(flow=flow.id)])
        return actions

    def _end_flow(self, flow: Flow) -> list[Action]:
        """Remove a flow and abort its requests and streams."""
        del self._flows_by_id[flow.id]
        return self._requests.discard_flow(flow) + self._streams.discard_flow(flow)

    def _set_resend_timer(self, flow: Flow, stream_id: int) -> None:
        stream = flow.streams_by_id.get(stream_id)
        if stream is not None and not stream.has_timer:
            stream.has_timer = True
            self._set_timer(stream.resend_at, flow.id, stream_id)

    def _set_timer(self, when: float, flow_id: bytes, number: int) -> None:
        heapq.heappush(self._timers, (when, flow_id, number))

    def _make_replies(self, flow: Flow, messages: Iterable) -> list[Action]:
        """Return actions that send messages through the flow's latest balancer."""
        via = flow.vias[0]
        return [
            Reply(via=via, ip=flow.ip, port=flow.port, message=message)
            for message in messages
        ]

    def _count_drop(self, reason: str) -> list[Action]:
        self.dropped_by_reason[reason] += 1
        return []
