"""Decoders drop bad input with a reason and never raise."""

import random
import unittest

import msgspec
from hypothesis import given, settings, strategies as st

from monsoonpier.model.keys import FRAME, Key, KeyRing
from monsoonpier.model.target import LoadReport
from monsoonpier.model.token import FlowToken, open_token, seal_token
from monsoonpier.wire.codec import Dropped
from monsoonpier.wire.control import ControlCodec, StatusRequest
from monsoonpier.wire.datagrams import (
    MAX_DATAGRAM_BYTES,
    Item,
    Ping,
    RequestPart,
    caller_codec,
    reply_codec,
)
from monsoonpier.wire.frames import FrameCodec, Heartbeat

KEYS = KeyRing(keys=(Key(id=1, secret=b"k" * 32),))
BATCH = 40
EXAMPLES = 260  # batches per decoder
FLOW = b"f" * 16
SAMPLES = (
    caller_codec.encode(Ping(flow=FLOW, token=b"t" * 60, acked=3)),
    caller_codec.encode(
        RequestPart(
            flow=FLOW,
            token=b"t" * 60,
            request=1,
            acked=1,
            kind="reading",
            time_left_ms=100,
            part=0,
            parts=1,
            digest=b"d" * 16,
            body=b"body",
        )
    ),
    reply_codec.encode(Item(flow=FLOW, request=1, previous=0, number=1, body=b"x")),
)


def _mutate(draw: random.Random) -> bytes:
    """Return random bytes, or a truncated, extended or altered sample."""
    data = bytearray(draw.choice(SAMPLES))
    match draw.randrange(5):
        case 0:
            return draw.randbytes(draw.randrange(0, 300))
        case 1:
            return bytes(data[: draw.randrange(len(data))])
        case 2:
            return bytes(data) + draw.randbytes(draw.randrange(1, 40))
        case 3:
            return bytes(data[:1]) + draw.randbytes(draw.randrange(0, 300))
        case _:
            for _ in range(draw.randrange(1, 6)):
                data[draw.randrange(len(data))] = draw.randrange(256)
            return bytes(data)


class DecoderTests(unittest.TestCase):
    """Every decoder copes with random and corrupted datagrams."""

    def _check_random_input(self, decode, seed: int, wrap=lambda data: data) -> None:
        draw = random.Random(seed)
        for _ in range(BATCH):
            result = decode(wrap(_mutate(draw)))
            self.assertIsInstance(result, Dropped | msgspec.Struct)

    @settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
    @given(seed=st.integers(0, 2**32))
    def test_from_callers(self, seed):
        """A balancer's decoder of callers' datagrams raises on no input."""
        self._check_random_input(caller_codec.decode, seed)

    @settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
    @given(seed=st.integers(0, 2**32))
    def test_to_callers(self, seed):
        """A caller's decoder raises on no input."""
        self._check_random_input(reply_codec.decode, seed)

    @settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
    @given(seed=st.integers(0, 2**32), is_sealed=st.booleans())
    def test_frames(self, seed, is_sealed):
        """The decoder of frames raises on no input, with or without a valid MAC."""

        def wrap(data: bytes) -> bytes:
            return KEYS.seal(data, purpose=FRAME) if is_sealed else data

        self._check_random_input(FrameCodec(keys=KEYS).decode, seed, wrap)

    @settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
    @given(seed=st.integers(0, 2**32), is_sealed=st.booleans())
    def test_control(self, seed, is_sealed):
        """The control decoder raises on no input, with or without a valid MAC."""

        def wrap(data: bytes) -> bytes:
            return KEYS.seal(data, purpose=FRAME) if is_sealed else data

        self._check_random_input(ControlCodec(keys=KEYS).decode, seed, wrap)

    def test_reasons(self):
        """Each kind of bad datagram is dropped with its own reason."""
        good = SAMPLES[0]
        table = (
            (b"", "truncated"),
            (bytes(MAX_DATAGRAM_BYTES + 1), "oversized"),
            (b"\x07" + good[1:], "version"),
            (good[:10], "malformed"),
            (b"\x01\x91\x63", "invalid"),
        )
        for data, reason in table:
            with self.subTest(reason=reason):
                self.assertEqual(caller_codec.decode(data), Dropped(reason=reason))


class KeyTests(unittest.TestCase):
    """Authentication and key rotation."""

    def _heartbeat(self) -> Heartbeat:
        return Heartbeat(name="maps-1", epoch=1, change=0, load=LoadReport(number=1))

    def test_forged_frame(self):
        """A frame authenticated with another key is dropped as forged."""
        other = KeyRing(keys=(Key(id=1, secret=b"o" * 32),))
        data = FrameCodec(keys=other).encode(self._heartbeat())
        decoded = FrameCodec(keys=KEYS).decode(data)
        self.assertEqual(decoded, Dropped(reason="forged"))

    def test_rotation(self):
        """During rotation both keys verify, and the first one signs."""
        old, new = Key(id=1, secret=b"k" * 32), Key(id=2, secret=b"n" * 32)
        both = KeyRing(keys=(new, old))
        token = FlowToken(service="maps", ip="10.0.0.1", port=1, instance=b"i" * 8)
        before = seal_token(token, flow=FLOW, keys=KEYS)
        after = seal_token(token, flow=FLOW, keys=both)
        self.assertEqual(open_token(before, flow=FLOW, keys=both), token)
        self.assertEqual(open_token(after, flow=FLOW, keys=both), token)
        self.assertIsNone(open_token(after, flow=FLOW, keys=KEYS))

    def test_purposes_do_not_mix(self):
        """The MAC of a frame is not valid for a token."""
        body = msgspec.msgpack.encode(["maps", "10.0.0.1", 1, b"i" * 8])
        sealed = KEYS.seal(body, purpose=FRAME, bound_to=FLOW)
        self.assertIsNone(open_token(sealed, flow=FLOW, keys=KEYS))

    def test_secrets_stay_out_of_text(self):
        """The string form of a key ring contains no secret."""
        self.assertNotIn("kkkk", repr(KEYS) + str(KEYS.keys[0]))

    def test_control_round_trip(self):
        """A control message survives encoding and decoding."""
        codec = ControlCodec(keys=KEYS)
        self.assertEqual(codec.decode(codec.encode(StatusRequest())), StatusRequest())
