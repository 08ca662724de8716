"""When callers first asked, for all balancers of a data centre.

The load that it answers: more callers than slots. A caller whose try ends opens
another flow from another port, which the fabric hands to any balancer of its data
centre. Taken for a new caller there it goes before those who can still be answered in
time, and it waits longer than it is there: its own deadline counts from its first try.
A slot that is given to it then stands empty.

One balancer, the caller's keeper, is told of each refusal. It is asked only for flows
that have to wait, and answers only if it knows something. A keeper may be lost: its
callers then count as new ones, as they do with an answer that comes too late.
"""

from monsoonpier.balancer.actions import ToAgent
from monsoonpier.balancer.membership import Membership
from monsoonpier.balancer.packets.returning import EarlierTry, ReturningCallers
from monsoonpier.model.address import Address
from monsoonpier.model.rendezvous import top
from monsoonpier.wire.frames import (
    BalancerRecord,
    FirstAsked,
    Refused,
    WhenAsked,
    to_milliseconds,
)
from monsoonpier.wire.packet import Packet

__all__ = ["FirstAskedTimes"]


class FirstAskedTimes:
    """This balancer's part of what is kept, and its words to other keepers."""

    def __init__(self, *, membership: Membership, returning: ReturningCallers) -> None:
        self._membership = membership
        self._returning = returning

    def refused(
        self, packet: Packet, earlier: EarlierTry, *, back_at: float, now: float
    ) -> list[ToAgent]:
        """Keep a caller's first ask, or tell its keeper.

        Args:
            packet: The refused one, which names the caller and the service's address.
            earlier: What is known here of the refused request.
            back_at: When it learns of the refusal, or gives up by itself.
            now: The present time.
        """
        if earlier.is_last:
            return []
        keeper = self._keeper_of(packet)
        if keeper is None:
            self._returning.keep(
                packet.caller_ip, packet.service_address, earlier, back_at=back_at
            )
            return []
        frame = Refused(
            caller=packet.caller_ip,
            service=_endpoint(packet.service_address),
            asked_ms=to_milliseconds(now - earlier.asked_at),
            tries=earlier.tries,
            back_ms=to_milliseconds(back_at - now),
        )
        return [ToAgent(endpoint=keeper.endpoint, frame=frame)]

    def ask(self, packet: Packet) -> list[ToAgent]:
        """Return the question when a flow's caller asked first.

        There is none if this balancer is the keeper, which knew when the flow came.
        """
        keeper = self._keeper_of(packet)
        if keeper is None:
            return []
        frame = WhenAsked(
            flow=packet.flow,
            caller=packet.caller_ip,
            service=_endpoint(packet.service_address),
            waited_ms=to_milliseconds(packet.waited),
        )
        return [ToAgent(endpoint=keeper.endpoint, frame=frame)]

    def told(self, frame: Refused, *, now: float) -> None:
        """Keep what another balancer says of a caller that it has refused."""
        self._returning.keep(
            frame.caller,
            _address(frame.service),
            EarlierTry(asked_at=now - frame.asked_ms / 1000, tries=frame.tries),
            back_at=now + frame.back_ms / 1000,
        )

    def answer(
        self, frame: WhenAsked, *, sender: tuple[str, int], now: float
    ) -> list[ToAgent]:
        """Answer another balancer's question; a caller that isn't known is new."""
        came_at = now - frame.waited_ms / 1000
        earlier = self._returning.take(
            frame.caller, _address(frame.service), came_at=came_at, now=now
        )
        if earlier is None:
            return []
        answer = FirstAsked(
            flow=frame.flow,
            asked_ms=to_milliseconds(now - earlier.asked_at),
            tries=earlier.tries,
        )
        return [ToAgent(endpoint=sender, frame=answer)]

    def _keeper_of(self, packet: Packet) -> BalancerRecord | None:
        """Return the balancer that keeps a caller; ``None`` if it is this one."""
        peers = self._membership.peers
        near_by_name = peers.near_by_name
        subject = f"{packet.caller_ip} {packet.service_address}"
        (keeper,) = top(subject, near_by_name, count=1)
        return None if keeper == peers.own.name else near_by_name[keeper]


def _endpoint(address: Address) -> tuple[str, int]:
    return (address.ip, address.port)


def _address(endpoint: tuple[str, int]) -> Address:
    ip, port = endpoint
    return Address(ip=ip, port=port)
