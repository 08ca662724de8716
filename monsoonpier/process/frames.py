"""Sending of frames through the link scheduler."""

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
    """Encode and send a frame to another process; return its size in bytes.

    Args:
        frame: The frame.
        endpoint: The other process's internal address.
        codec: Encodes and authenticates the frame.
        sender: The scheduler that all sockets of this process share.
        socket: The socket to send through.
        flow: The flow that the frame belongs to, if any.
    """
    data = codec.encode(frame)
    urgency = urgency_of(frame, size=len(data))
    sender.send(socket, data, endpoint, urgency=urgency, flow=flow)
    return len(data)
