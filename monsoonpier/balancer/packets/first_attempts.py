"""Times of callers' first attempts, shared by the balancers of a data centre.

A rejected caller opens another flow, which may reach another balancer. If that flow
counted as a new request, it would overtake flows that can still be served in time, and
would wait past the caller's deadline, which counts from the first attempt.

One balancer, the caller's directory balancer, is notified of each rejection. It is
queried only for flows that are queued, and replies only if it has a record. If it is
lost or replies too late, the flow counts as a new request.
"""

from monsoonpier.balancer.actions import ToAgent
from monsoonpier.balancer.membership import Membership
from monsoonpier.balancer.packets.returning import EarlierAttempt, ReturningCallers
from monsoonpier.model.address import Address
from monsoonpier.model.rendezvous import top
from monsoonpier.wire.frames import (
    AttemptRejected,
    BalancerRecord,
    FirstAttemptQuery,
    FirstAttemptReply,
    to_milliseconds,
)
from monsoonpier.wire.packet import Packet

__all__ = ["FirstAttempts"]


class FirstAttempts:
    """Stores rejected attempts here or at the caller's directory balancer.

    Also queries that balancer, and replies to queries of others. Does no I/O.
    """

    def __init__(self, *, membership: Membership, returning: ReturningCallers) -> None:
        self._membership = membership
        self._returning = returning

    def note_rejection(
        self,
        packet: Packet,
        earlier: EarlierAttempt,
        *,
        next_attempt_at: float,
        now: float,
    ) -> list[ToAgent]:
        """Store a rejected attempt, or notify the caller's directory balancer.

        Args:
            packet: The rejected SYN, from the caller to the service's address.
            earlier: The rejected attempt.
            next_attempt_at: When the caller is reset, or gives up by itself.
            now: The current time.
        """
        if earlier.is_last:
            return []
        balancer = self._directory_balancer(packet)
        if balancer is None:
            self._returning.record(
                packet.caller_ip,
                packet.service_address,
                earlier,
                next_attempt_at=next_attempt_at,
            )
            return []
        frame = AttemptRejected(
            caller=packet.caller_ip,
            service=_endpoint(packet.service_address),
            first_attempt_age_ms=to_milliseconds(now - earlier.first_attempt_at),
            tries=earlier.attempts,
            next_attempt_ms=to_milliseconds(next_attempt_at - now),
        )
        return [ToAgent(endpoint=balancer.endpoint, frame=frame)]

    def query(self, packet: Packet) -> list[ToAgent]:
        """Return the query for the first attempt of a flow's caller.

        The list is empty if this balancer is the caller's directory balancer itself.
        """
        balancer = self._directory_balancer(packet)
        if balancer is None:
            return []
        frame = FirstAttemptQuery(
            flow=packet.flow,
            caller=packet.caller_ip,
            service=_endpoint(packet.service_address),
            syn_age_ms=to_milliseconds(packet.waited),
        )
        return [ToAgent(endpoint=balancer.endpoint, frame=frame)]

    def store_rejection(self, frame: AttemptRejected, *, now: float) -> None:
        """Store another balancer's report of a rejected caller."""
        self._returning.record(
            frame.caller,
            _address(frame.service),
            EarlierAttempt(
                first_attempt_at=now - frame.first_attempt_age_ms / 1000,
                attempts=frame.tries,
            ),
            next_attempt_at=now + frame.next_attempt_ms / 1000,
        )

    def reply(
        self, frame: FirstAttemptQuery, *, sender: tuple[str, int], now: float
    ) -> list[ToAgent]:
        """Return the reply to a balancer's query for a caller's first attempt.

        The list is empty if no rejected attempt of the caller is stored here. A stored
        one is removed, so that it is used for one flow only.
        """
        opened_at = now - frame.syn_age_ms / 1000
        earlier = self._returning.claim(
            frame.caller, _address(frame.service), opened_at=opened_at, now=now
        )
        if earlier is None:
            return []
        reply = FirstAttemptReply(
            flow=frame.flow,
            first_attempt_age_ms=to_milliseconds(now - earlier.first_attempt_at),
            tries=earlier.attempts,
        )
        return [ToAgent(endpoint=sender, frame=reply)]

    def _directory_balancer(self, packet: Packet) -> BalancerRecord | None:
        """Return a caller's directory balancer; ``None`` if it is this one."""
        peers = self._membership.peers
        near_by_name = peers.near_by_name
        subject = f"{packet.caller_ip} {packet.service_address}"
        (balancer,) = top(subject, near_by_name, count=1)
        return None if balancer == peers.own.name else near_by_name[balancer]


def _endpoint(address: Address) -> tuple[str, int]:
    """Return an address as an IP address and port."""
    return (address.ip, address.port)


def _address(endpoint: tuple[str, int]) -> Address:
    """Return the address of an IP address and port."""
    ip, port = endpoint
    return Address(ip=ip, port=port)
