"""Frames on their way out: sealed, by their urgency, by what the link carries."""

from monsoonpier.link.sender import LinkSender
from monsoonpier.process.udp import UdpSocket
from monsoonpier.wire.frames import FrameCodec
from monsoonpier.wire.urgency import urgency_of

__all__ = ["send_frame"]


def send_frame(
    frame,
    endpoint: tuple[str, int],
    *,
    codec: FrameCodec,
    sender: LinkSender,
    socket: UdpSocket,
    flow: bytes = b"",
) -> int:
    """Send a frame to another process's internal address; return its bytes.

    Args:
        frame: The frame.
        endpoint: Where to.
        codec: Seals it.
        sender: The link that all of the process's sockets share.
        socket: What it leaves through.
        flow: The flow that it belongs to, if any.
    """
    data = codec.encode(frame)
    urgency = urgency_of(frame, size=len(data))
    sender.send(socket, data, endpoint, urgency=urgency, flow=flow)
    return len(data)
