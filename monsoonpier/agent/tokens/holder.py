"""The agent's decisions: packets, results and time in, actions out."""

import heapq
import random
from collections import Counter
from collections.abc import Iterable

from monsoonpier.agent.tokens.actions import (
    Action,
    Reply,
    RequestKey,
    Return,
    RunResult,
)
from monsoonpier.agent.tokens.condition import TargetLife
from monsoonpier.agent.tokens.flows import Flow
from monsoonpier.agent.tokens.requests import RequestDesk
from monsoonpier.agent.tokens.streams import StreamDesk
from monsoonpier.model.keys import KeyRing
from monsoonpier.model.service import Service
from monsoonpier.model.target import LoadReport
from monsoonpier.model.token import HolderToken, open_token, seal_token
from monsoonpier.wire.codec import Dropped
from monsoonpier.wire.datagrams import (
    Cancel,
    Close,
    Fetch,
    FlowGone,
    Move,
    Open,
    Opened,
    Ping,
    Pong,
    RequestPart,
    StreamAck,
    StreamOpen,
    caller_codec,
)
from monsoonpier.wire.frames import Forward

__all__ = ["Holder"]

UNUSED_FLOW_SECONDS = 10.0  # an OPEN's duplicate leaves only this behind
IDLE_FLOW_SECONDS = 60.0
MIN_EXPIRY_SECONDS = 1.0
MOVE_EVERY_SECONDS = 0.5
LINGER_SECONDS = 5.0  # callers that have not fetched their outcome in this time
RETURN_RETRY_MS = 1_000


class Holder:
    """Holds the flows of one target. Deterministic, and does no I/O.

    The process gives it datagrams, the target's results and the time, and
    carries out the actions that it returns.
    """

    def __init__(
        self,
        *,
        token: HolderToken,
        keys: KeyRing,
        slots: int,
        connections: int,
    ) -> None:
        self._token = token
        self._keys = keys
        self._connections = connections
        self._flows_by_id: dict[bytes, Flow] = {}
        self._timers: list[tuple[float, bytes, int]] = []
        self._requests = RequestDesk(slots=slots)
        self._streams = StreamDesk()
        self._report_number = 0
        self._openings = 0
        self._leave_by: float | None = None
        self._move_at = 0.0
        self.life = TargetLife()
        self.service: Service | None = None
        self.dropped_by_reason: Counter[str] = Counter()
        self.refused_opens = 0

    # What the process and the metrics read

    @property
    def flows(self) -> int:
        """Flows held now."""
        return len(self._flows_by_id)

    @property
    def requests(self) -> RequestDesk:
        """The requests of all flows."""
        return self._requests

    @property
    def streams(self) -> int:
        """Streams open now."""
        return self._streams.open_streams

    def load(self, *, now: float) -> LoadReport:
        """Return the present count of work, newer than any before."""
        self._report_number += 1
        return LoadReport(
            number=self._report_number,
            in_flight=self._requests.in_flight,
            queued=self._requests.queued,
            flows=len(self._flows_by_id),
            service_ms=int(self._requests.service_seconds * 1000),
            age_ms=self.life.age_ms(now=now),
            condition=self.life.code,
        )

    def is_finished(self, *, now: float) -> bool:
        """Tell whether a leaving agent has nothing left to do."""
        if self._leave_by is None or self._requests.in_flight:
            return False
        if any(flow.is_busy for flow in self._flows_by_id.values()):
            return False
        return not self._flows_by_id or now >= self._leave_by

    # Packets from callers

    def forwarded(
        self, frame: Forward, *, via: tuple[str, int], now: float, draw: random.Random
    ) -> list[Action]:
        """Decide on a caller's packet that a balancer passed on."""
        if frame.service != self._token.service:
            return self._drop("foreign_service")
        message = caller_codec.decode(frame.payload)
        if isinstance(message, Dropped):
            return self._drop(message.reason)
        if isinstance(message, Open):
            return self._open(frame, message, via=via, now=now)
        token = open_token(message.token, flow=message.flow, keys=self._keys)
        if token is None:
            return self._drop("forged_token")
        flow = self._flows_by_id.get(message.flow)
        if flow is None or token != self._token.with_opening(flow.opening):
            if isinstance(message, Close):
                return []
            gone = FlowGone(flow=message.flow)
            return [Reply(via=via, ip=frame.ip, port=frame.port, message=gone)]
        flow.came_by(via, ip=frame.ip, port=frame.port)
        flow.expires = now + self._idle_seconds
        return self._established(flow, message, now=now, draw=draw)

    @property
    def _idle_seconds(self) -> float:
        """A leaving agent does not wait long for callers that are gone."""
        return IDLE_FLOW_SECONDS if self._leave_by is None else LINGER_SECONDS

    def _open(
        self, frame: Forward, message: Open, *, via: tuple[str, int], now: float
    ) -> list[Action]:
        flow = self._flows_by_id.get(message.flow)
        if flow is None:
            reason = self._refuses_flows()
            if reason:
                self.refused_opens += 1
                return [
                    Return(
                        via=via,
                        ip=frame.ip,
                        port=frame.port,
                        payload=frame.payload,
                        tried=frame.tried,
                        reason=reason,
                        retry_after_ms=RETURN_RETRY_MS,
                    )
                ]
            self._openings += 1
            flow = Flow(
                id=message.flow,
                opening=self._openings,
                ip=frame.ip,
                port=frame.port,
                vias=[via],
                expires=now + UNUSED_FLOW_SECONDS,
            )
            self._flows_by_id[message.flow] = flow
            self._set_timer(flow.expires, flow.id, 0)
        token = self._token.with_opening(flow.opening)
        sealed = seal_token(token, flow=message.flow, keys=self._keys)
        flow.came_by(via, ip=frame.ip, port=frame.port)
        return self._replies(flow, [Opened(flow=message.flow, token=sealed)])

    def _refuses_flows(self) -> str:
        """Return why no new flow is taken, or an empty text if one is."""
        if not self.life.takes_flows:
            return self.life.label
        if self.service is None:
            return "no configuration"
        if len(self._flows_by_id) >= self._connections:
            return "connections are used up"
        return ""

    def _established(
        self, flow: Flow, message, *, now: float, draw: random.Random
    ) -> list[Action]:
        match message:
            case RequestPart():
                actions = self._requests.advance_mark(flow, message.acked)
                is_new = message.request not in flow.requests_by_id
                more, replies = self._requests.take_part(
                    flow,
                    message,
                    service=self.service,
                    life=self.life,
                    now=now,
                    draw=draw,
                )
                if is_new and message.request in flow.requests_by_id:
                    deadline = flow.requests_by_id[message.request].deadline
                    self._set_timer(deadline, flow.id, message.request)
                return actions + more + self._replies(flow, replies)
            case Fetch():
                actions = self._requests.advance_mark(flow, message.acked)
                replies = self._requests.fetch(flow, message.request, message.missing)
                return actions + self._replies(flow, replies)
            case Cancel():
                actions = self._requests.advance_mark(flow, message.acked)
                if message.request in flow.streams_by_id:
                    return actions + self._streams.close(flow, message.request)
                more, replies = self._requests.cancel(flow, message.request, now=now)
                return actions + more + self._replies(flow, replies)
            case StreamOpen():
                actions = self._requests.advance_mark(flow, message.acked)
                return actions + self._open_stream(flow, message, now=now)
            case StreamAck():
                return self._streams.acknowledge(
                    flow, message.request, message.up_to, now=now
                )
            case Ping():
                actions = self._requests.advance_mark(flow, message.acked)
                replies = [Pong(flow=flow.id)]
                if self.life.is_leaving:
                    replies.append(Move(flow=flow.id))
                return actions + self._replies(flow, replies)
            case Close():
                return self._end_flow(flow)
        return self._drop("unexpected")

    def _open_stream(
        self, flow: Flow, message: StreamOpen, *, now: float
    ) -> list[Action]:
        if self.life.is_leaving:
            return self._replies(flow, [Move(flow=flow.id)])
        kind = self.service and self.service.kinds_by_name.get(message.kind)
        if not kind or not kind.stream:
            actions = self._streams.open(flow, message, now=now)
            if not actions:
                return []
            _, replies = self._streams.end(
                flow, message.request, "no such stream", now=now
            )
            self._set_resend(flow, message.request)
            return self._replies(flow, replies)
        return self._streams.open(flow, message, now=now)

    # Results of the target

    def run_ended(
        self, key: RequestKey, result: RunResult, *, now: float, draw: random.Random
    ) -> list[Action]:
        """Take the result of a request that was handed over."""
        is_fair = self._requests.had_fair_time(key)
        self.life = self.life.after_run(result, is_fair=is_fair, now=now)
        flow, replies = self._requests.ended(key, result, now=now, draw=draw)
        actions = self._replies(flow, replies) if flow else []
        return actions + self._fill_slots(now=now)

    def stream_item(
        self, key: RequestKey, number: int, body: bytes, *, now: float
    ) -> list[Action]:
        """Take one item that the target sent on a stream."""
        flow = self._flows_by_id.get(key.flow)
        if flow is None:
            return []
        actions, replies = self._streams.item(flow, key.request, number, body, now=now)
        if replies:
            self._set_resend(flow, key.request)
        return actions + self._replies(flow, replies)

    def stream_ended(
        self, key: RequestKey, reason: str, *, reopen: bool, now: float
    ) -> list[Action]:
        """Take the end of a stream at the target."""
        flow = self._flows_by_id.get(key.flow)
        if flow is None:
            return []
        actions, replies = self._streams.end(
            flow, key.request, reason, now=now, reopen=reopen
        )
        self._set_resend(flow, key.request)
        return actions + self._replies(flow, replies)

    # Orders and time

    def leave(self, *, now: float) -> list[Action]:
        """Begin to leave: no new work, and callers are asked to move."""
        if self._leave_by is not None:
            return []
        self.life = self.life.leave(now=now)
        self._leave_by = now + LINGER_SECONDS
        for flow in self._flows_by_id.values():
            flow.expires = min(flow.expires, self._leave_by)
            self._set_timer(flow.expires, flow.id, 0)
        return self._ask_to_move(now=now)

    def stay(self, *, now: float) -> None:
        """Take the order to leave back."""
        if self._leave_by is not None:
            self._leave_by = None
            self.life = self.life.stay(now=now)

    def tick(self, *, now: float, draw: random.Random) -> list[Action]:
        """Do what has come due by ``now``."""
        self.life = self.life.at(now=now)
        actions: list[Action] = []
        while self._timers and self._timers[0][0] <= now:
            _, flow_id, number = heapq.heappop(self._timers)
            flow = self._flows_by_id.get(flow_id)
            if flow is not None:
                actions += self._due(flow, number, now=now)
        if self._leave_by is not None and now >= self._move_at:
            actions += self._ask_to_move(now=now)
        return actions + self._fill_slots(now=now)

    def _due(self, flow: Flow, number: int, *, now: float) -> list[Action]:
        """Handle a timer: 0 is the flow's own, others are request ids."""
        if number == 0:
            if now >= flow.expires and not flow.is_working:
                return self._end_flow(flow)
            if now >= flow.expires:
                # Work in flight is not cut because its caller is silent.
                flow.expires = now + MIN_EXPIRY_SECONDS
            self._set_timer(flow.expires, flow.id, 0)
            return []
        stream = flow.streams_by_id.get(number)
        if stream is not None:
            stream.has_timer = False
            replies = self._streams.resend(flow, stream, now=now)
            if stream.unacked_by_number or stream.end is not None:
                self._set_resend(flow, number)
            return self._replies(flow, replies)
        actions, replies = self._requests.expire(flow, number, now=now)
        return actions + self._replies(flow, replies)

    def _fill_slots(self, *, now: float) -> list[Action]:
        runs, refused = self._requests.next_runs(life=self.life, now=now)
        actions: list[Action] = list(runs)
        for flow, replies in refused:
            actions += self._replies(flow, replies)
        return actions

    def _ask_to_move(self, *, now: float) -> list[Action]:
        self._move_at = now + MOVE_EVERY_SECONDS
        actions: list[Action] = []
        for flow in self._flows_by_id.values():
            # A balancer that has gone would swallow every one of these.
            flow.rotate_via()
            actions += self._replies(flow, [Move(flow=flow.id)])
        return actions

    def _end_flow(self, flow: Flow) -> list[Action]:
        del self._flows_by_id[flow.id]
        return self._requests.forget_flow(flow) + self._streams.forget_flow(flow)

    def _set_resend(self, flow: Flow, stream_id: int) -> None:
        stream = flow.streams_by_id.get(stream_id)
        if stream is not None and not stream.has_timer:
            stream.has_timer = True
            self._set_timer(stream.resend_at, flow.id, stream_id)

    def _set_timer(self, when: float, flow_id: bytes, number: int) -> None:
        heapq.heappush(self._timers, (when, flow_id, number))

    def _replies(self, flow: Flow, messages: Iterable) -> list[Action]:
        via = flow.vias[0]
        return [
            Reply(via=via, ip=flow.ip, port=flow.port, message=message)
            for message in messages
        ]

    def _drop(self, reason: str) -> list[Action]:
        self.dropped_by_reason[reason] += 1
        return []
