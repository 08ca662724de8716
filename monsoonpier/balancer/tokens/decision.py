"""Decisions of a balancer of flows with tokens."""

import random
from collections import Counter

from monsoonpier.balancer.actions import ToAgent, ToCaller
from monsoonpier.balancer.membership import Membership
from monsoonpier.balancer.peers import Peers
from monsoonpier.balancer.table import TargetTable
from monsoonpier.balancer.target_choice import Chosen, NoTarget, choose_target
from monsoonpier.model.keys import KeyRing
from monsoonpier.model.service import Configuration, Service
from monsoonpier.model.settings import CONFIGURATION_SECONDS
from monsoonpier.model.token import open_token
from monsoonpier.wire.codec import Dropped
from monsoonpier.wire.datagrams import (
    MIN_OPEN_BYTES,
    Open,
    OpenRejected,
    caller_codec,
    reply_codec,
)
from monsoonpier.wire.frames import (
    MAX_TRIED,
    BalancerRecord,
    ForwardDatagram,
    OpenReturned,
    ReplyDatagram,
)

__all__ = ["Balancer"]

MAX_ATTEMPTS = 3  # targets that one OPEN is sent to


class Balancer:
    """Forwards packets by their token and places new flows. Does no I/O.

    It keeps no state per flow.
    """

    def __init__(
        self,
        *,
        own: BalancerRecord,
        keys: KeyRing,
        started_at: float = 0.0,
        configuration_seconds: float = CONFIGURATION_SECONDS,
    ) -> None:
        self._keys = keys
        self.membership = Membership(
            own=own,
            started_at=started_at,
            configuration_seconds=configuration_seconds,
        )
        self.dropped_by_reason: Counter[str] = Counter()
        self.opens_by_result: Counter[str] = Counter()
        self.forwarded = 0
        self.returned = 0

    @property
    def peers(self) -> Peers:
        """The known balancers."""
        return self.membership.peers

    @property
    def table(self) -> TargetTable:
        """The known targets."""
        return self.membership.table

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self.membership.configuration

    # Datagrams from callers

    def from_caller(
        self,
        payload: bytes,
        *,
        caller: tuple[str, int],
        service: str,
        now: float,
        draw: random.Random,
    ) -> ToAgent | ToCaller | None:
        """Process a datagram received at a service's address; return the action."""
        message = caller_codec.decode(payload)
        if isinstance(message, Dropped):
            return self._drop(message.reason)
        if isinstance(message, Open):
            if len(payload) < MIN_OPEN_BYTES:
                return self._drop("short_open")
            return self._place(
                payload,
                message.flow,
                caller=caller,
                service=service,
                tried=(),
                now=now,
                draw=draw,
            )
        token = open_token(message.token, flow=message.flow, keys=self._keys)
        if token is None:
            return self._drop("forged_token")
        if token.service != service:
            return self._drop("foreign_service")
        self.forwarded += 1
        frame = ForwardDatagram(
            service=service, ip=caller[0], port=caller[1], payload=payload
        )
        return ToAgent(endpoint=token.endpoint, frame=frame)

    def _place(
        self,
        payload: bytes,
        flow: bytes,
        *,
        caller: tuple[str, int],
        service: str,
        tried: tuple[str, ...],
        now: float,
        draw: random.Random,
        retry_after: float = 0.0,
    ) -> ToAgent | ToCaller:
        """Send an OPEN to a target that hasn't rejected it, or reject it.

        Args:
            payload: The OPEN as received.
            flow: Its flow id.
            caller: Its sender.
            service: The service that it was sent to.
            tried: Names of the targets that it has been sent to.
            now: The present time.
            draw: Random numbers.
            retry_after: Least seconds, before jitter, until the caller may retry.
        """
        configured = self.configuration.services_by_name.get(service)
        choice: Chosen | NoTarget
        if configured is None:
            choice = NoTarget(reason="no such service", retry_after=1.0)
        elif len(tried) >= MAX_ATTEMPTS:
            choice = NoTarget(reason="no target is free", retry_after=1.0)
        else:
            choice = self._choose(configured, tried=tried, now=now, draw=draw)
        match choice:
            case Chosen(record=record):
                self.opens_by_result["placed"] += 1
                self.table.record_flow_sent(record.name, now=now)
                frame = ForwardDatagram(
                    service=service,
                    ip=caller[0],
                    port=caller[1],
                    payload=payload,
                    tried=(*tried, record.name)[-MAX_TRIED:],
                )
                return ToAgent(endpoint=record.address.endpoint, frame=frame)
            case NoTarget(reason=reason, retry_after=seconds):
                self.opens_by_result["refused"] += 1
                seconds = max(seconds, retry_after) * draw.uniform(0.5, 1.5)
                rejection = OpenRejected(
                    flow=flow, reason=reason, retry_after_ms=int(seconds * 1000)
                )
                return ToCaller(
                    service=service,
                    endpoint=caller,
                    payload=reply_codec.encode(rejection),
                )

    def _choose(
        self,
        service: Service,
        *,
        tried: tuple[str, ...],
        now: float,
        draw: random.Random,
    ) -> Chosen | NoTarget:
        return choose_target(
            self.table.candidates(service, now=now),
            tried=tried,
            data_centre=self.peers.own.data_centre,
            prefer=service.prefer,
            cold_start_seconds=service.limits.cold_start_seconds,
            draw=draw,
        )

    # Frames from agents and peers

    def from_process(
        self, frame, *, sender: tuple[str, int], now: float, draw: random.Random
    ) -> list:
        """Process a frame received at the internal address; return actions."""
        match frame:
            case ReplyDatagram():
                self.table.record_load(frame.agent, frame.load, now=now)
                if frame.opened:
                    self.table.record_flow_answered(frame.agent)
                self.returned += 1
                return [
                    ToCaller(
                        service=frame.service,
                        endpoint=(frame.ip, frame.port),
                        payload=frame.payload,
                    )
                ]
            case OpenReturned():
                return self._place_returned_open(frame, now=now, draw=draw)
        actions = self.membership.from_process(frame, sender=sender, now=now, draw=draw)
        if actions is None:
            self._drop("unexpected")
            return []
        return actions

    def _place_returned_open(
        self, frame: OpenReturned, *, now: float, draw: random.Random
    ) -> list:
        """Try another target for an OPEN that an agent has rejected."""
        self.table.record_load(frame.agent, frame.load, now=now)
        self.table.record_flow_answered(frame.agent)
        self.opens_by_result["bounced"] += 1
        message = caller_codec.decode(frame.payload)
        if not isinstance(message, Open):
            self._drop("unexpected")
            return []
        action = self._place(
            frame.payload,
            message.flow,
            caller=(frame.ip, frame.port),
            service=frame.service,
            tried=frame.tried,
            now=now,
            draw=draw,
            retry_after=frame.retry_after_ms / 1000,
        )
        return [action]

    def _drop(self, reason: str) -> None:
        self.dropped_by_reason[reason] += 1
        return
