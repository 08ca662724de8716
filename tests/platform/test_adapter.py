"""The adapter's translation of packets, configuration, settings and calls."""

import contextlib
import gc
import io
import random
import re
import signal
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import msgspec
from hypothesis import given, settings, strategies as st

from monsoonpier.agent.packets.messages import (
    LeaveNotice,
    TargetHeartbeat,
    TargetInstance,
)
from monsoonpier.exits import ExitStatus
from monsoonpier.http import Request
from monsoonpier.model.address import Address
from monsoonpier.platform import __main__ as platform_main
from monsoonpier.platform.configuration import PLATFORM_FORMAT
from monsoonpier.platform.packets import PlatformPackets
from monsoonpier.platform.settings import load_platform_settings
from monsoonpier.platform.targets import TargetCalls
from monsoonpier.wire.codec import Dropped
from monsoonpier.wire.packet import Packet
from standins.packets.wire import ACK, BOUNCED, RST, SYN, Segment

ROOT = Path(__file__).parent.parent.parent
CALLER = ("100.64.0.7", 40_001)
SERVICE = ("198.18.0.1", 443)
PUBLISHED_SYN = bytes.fromhex(
    "2000000000000011223344000000006440 0007c61200019c4101bba1b2c3d5".replace(" ", "")
)
PUBLISHED_RESET = bytes.fromhex(
    "40000000000000000000000000 0000c6120001644000 0701bb9c4100000000".replace(" ", "")
)


HEARTBEAT = {
    "service": "maps",
    "address": "10.1.0.12:8165",
    "zone": "z",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 4,
}


class PacketTests(unittest.TestCase):
    """The packet header, against the published example and the test codec."""

    codec = PlatformPackets()

    def test_published_example(self) -> None:
        """The published SYN is decoded and the published reset encoded exactly."""
        syn = self.codec.decode(PUBLISHED_SYN, from_target=False)
        self.assertTrue(syn.is_syn)
        self.assertEqual(syn.caller_ip, CALLER[0])
        self.assertEqual(syn.service_address, Address(ip=SERVICE[0], port=SERVICE[1]))
        self.assertEqual(syn.sequence, 0x11223344)
        self.assertEqual(self.codec.reset(syn.flow, acknowledged=0), PUBLISHED_RESET)

    def test_both_directions_name_one_flow(self) -> None:
        """A caller's packet and its target's response have the same flow key."""
        there = Segment(flags=SYN, source=CALLER, destination=SERVICE)
        back = Segment(flags=SYN | ACK, source=SERVICE, destination=CALLER)
        one = self.codec.decode(there.encode(), from_target=False)
        other = self.codec.decode(back.encode(), from_target=True)
        self.assertEqual(one.flow, other.flow)
        self.assertEqual(other.caller_ip, CALLER[0])

    def test_returned_packet(self) -> None:
        """A packet that a target returns is restored to what its caller sent."""
        sent = Segment(flags=SYN, source=CALLER, destination=SERVICE).encode()
        back = bytes((sent[0] | BOUNCED,)) + sent[1:]
        packet = self.codec.decode(back, from_target=True)
        self.assertTrue(packet.is_returned)
        self.assertEqual(packet.raw, sent)
        self.assertEqual(packet.caller_ip, CALLER[0])

    def test_sequence_of_reset(self) -> None:
        """A reset's sequence number is the caller's last acknowledgement."""
        sent = Segment(
            flags=ACK, source=CALLER, destination=SERVICE, acknowledged=77_000
        )
        packet = self.codec.decode(sent.encode(), from_target=False)
        raw = self.codec.reset(packet.flow, acknowledged=packet.acknowledged)
        reset = Segment.decode(raw)
        self.assertEqual((reset.flags, reset.sequence), (RST, 77_000))
        self.assertEqual((reset.source, reset.destination), (SERVICE, CALLER))

    def test_any_bytes(self) -> None:
        """Any datagram is decoded to a packet or dropped with a reason."""
        draw = random.Random(11)
        for _ in range(5_000):
            data = draw.randbytes(draw.randint(0, 60))
            result = self.codec.decode(data, from_target=draw.random() < 0.5)
            self.assertIsInstance(result, Packet | Dropped)


class ConfigurationTests(unittest.TestCase):
    """Decoding of the operator's configuration."""

    def test_routes(self) -> None:
        """A route's host and prefix form an address; unknown fields are ignored."""
        value = b"""{"version": 7, "routes": [{"name": "r", "host": "198.18.0.1",
            "prefix": "/8443/", "type": "safe", "timeout_ms": 3000,
            "target_latency_ms": 225, "priority": 2, "service": "maps",
            "max_attempts": 2}], "services": [], "limits": {}}"""
        configuration = PLATFORM_FORMAT.decode(value)
        address = Address(ip="198.18.0.1", port=8443)
        route = configuration.routes_by_address[address]
        self.assertEqual(configuration.version, 7)
        self.assertEqual((route.service, route.timeout_seconds), ("maps", 3.0))

    def test_shared_route(self) -> None:
        """Backends are weights by service; an invalid one affects no other route."""
        value = b"""{"version": 7, "routes": [
            {"host": "198.18.0.1", "prefix": "/1/", "backends":
                [{"service": "maps", "weight": 90}, {"service": "next", "weight": 10}]},
            {"host": "198.18.0.1", "prefix": "/2/", "backends": [3, {"weight": 1}]},
            {"host": "198.18.0.1", "prefix": "/3/", "backends": {"maps": 1}}]}"""
        configuration = PLATFORM_FORMAT.decode(value)
        weights_by_port = {
            address.port: route.weights_by_service
            for address, route in configuration.routes_by_address.items()
        }
        self.assertEqual(weights_by_port, {1: {"maps": 90, "next": 10}, 2: {}, 3: {}})
        self.assertEqual(len(configuration.findings), 5)

    def test_invalid_configuration(self) -> None:
        """An invalid configuration raises ``ValueError`` and nothing else."""
        route = b'{"host": "%s", "prefix": "%s", "service": "s"}'
        values = [b"", b"{}", b"[1]", b'{"version": "x", "routes": []}', b"\xff\xfe"]
        for host, prefix in ((b"h", b"/x/"), (b"198.18.0.1", b"/"), (b"x", b"/1/")):
            values.append(b'{"version": 1, "routes": [%s]}' % (route % (host, prefix)))
        for value in values:
            with self.subTest(value=value), self.assertRaises(ValueError):
                PLATFORM_FORMAT.decode(value)


class SettingsTests(unittest.TestCase):
    """Loading of the platform's settings file."""

    TEXT = """
node_name = "side-1"
ip = "10.1.0.12"
zone = "norte"
internal_ports = [7720, 7735]
seeds = ["10.1.0.10:8166"]
app = "10.1.0.12:8165"
service = "maps"
unknown = "ignored"
[listen]
datagram_addr = "10.1.0.12:8172"
outbound = "10.1.0.12:8162"
ready = "10.1.0.12:8167"
control = "10.1.0.12:8166"
[platform]
address = "10.200.1.7:8169"
"""

    def load(self, text: str, *, role: str = "agent", key: str = "5f" * 32):
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write(text)
            file.flush()
            environment = {"MONSOONPIER_SETTINGS": file.name, "FRAME_KEY": key}
            return load_platform_settings(role=role, environment=environment)

    def test_agent(self) -> None:
        """An agent's settings file is translated to the common settings."""
        settings = self.load(self.TEXT)
        self.assertEqual(settings.common.data_centre, "norte")
        self.assertEqual(settings.common.target.service, "maps")
        self.assertEqual(settings.common.seeds, (Address(ip="10.1.0.10", port=7720),))
        self.assertEqual(settings.from_target, Address(ip="10.1.0.12", port=8162))

    def test_link(self) -> None:
        """The link's rate is optional; it is converted to bits a second."""
        self.assertIsNone(self.load(self.TEXT).common.link_bits_per_second)
        for text, rate in (("2.0", 2e6), ("1000", 1e9)):
            loaded = self.load(self.TEXT + f"[limits]\nlink_mbps = {text}\n")
            self.assertEqual(loaded.common.link_bits_per_second, rate)

    def test_invalid_link(self) -> None:
        """An invalid link rate is reported with its line and column."""
        for text in ("0", "-2.0", '"wide"', "nan", "[]"):
            with self.subTest(text=text), self.assertRaises(ValueError) as caught:
                self.load(self.TEXT + f"[limits]\nlink_mbps = {text}\n")
            self.assertRegex(str(caught.exception), r":18:13: 'limits.link_mbps'")

    def test_all_findings_with_their_places(self) -> None:
        """All problems are reported at once, with line and column."""
        text = self.TEXT.replace('zone = "norte"\n', "")
        text = text.replace("[7720, 7735]", '"7720"')
        text = text.replace("10.200.1.7:8169", "10.200.1.7")
        with self.assertRaises(ValueError) as caught:
            self.load(text)
        lines = str(caught.exception).splitlines()
        self.assertEqual(len(lines), 3, lines)
        self.assertIn("'zone' is missing", lines[0])
        self.assertRegex(lines[1], r"\.toml:4:18: 'internal_ports': ")
        self.assertRegex(lines[2], r"\.toml:15:11: '10.200.1.7' is not an ip:port")

    def test_age_of_flows(self) -> None:
        """How long flows may last is the platform's figure, or a minute."""
        for text, expected in (("", 60.0), ("[bounds]\nmax_flow_s = 300\n", 300.0)):
            loaded = self.load(self.TEXT + text)
            self.assertEqual(loaded.common.max_flow_seconds, expected)

    def test_invalid_settings(self) -> None:
        """Invalid settings raise one ``ValueError`` that names the file."""
        cases = {
            "node_name": self.TEXT.replace("node_name", "name"),
            "app": self.TEXT.replace('app = "10.1.0.12:8165"', ""),
            "ip:port": self.TEXT.replace("10.200.1.7:8169", "10.200.1.7"),
            "toml": "= [",
        }
        for part, text in cases.items():
            with self.subTest(part=part), self.assertRaises(ValueError) as caught:
                self.load(text)
            self.assertIn(".toml", str(caught.exception))
        with self.assertRaises(ValueError):
            self.load(self.TEXT, key="5f")
        with self.assertRaises(ValueError):
            load_platform_settings(role="agent", environment={})


class TargetCallTests(unittest.TestCase):
    """HTTP calls from a target to its agent."""

    def setUp(self) -> None:
        self.messages: list = []
        self.calls = TargetCalls(service="maps", handler=self._take)

    def _take(self, message) -> bool:
        self.messages.append(message)
        return True

    def _post(self, path: str, body: bytes = b"") -> int:
        request = Request(method="POST", path="/monsoonpier/" + path, body=body)
        return self.calls.handle(request).status

    def test_heartbeat_and_leave(self) -> None:
        """Heartbeat and leave calls are decoded to typed messages."""
        body = b"""{"service": "maps", "address": "10.1.0.12:8165", "zone": "z",
            "version": "v1", "slots": 3, "state": "draining",
            "cold_remaining_ms": 1500, "sequence": 4}"""
        self.assertEqual(self._post("Instances.Heartbeat/i-1", body), 200)
        self.assertEqual(self._post("Instances.Leave/i-1"), 200)
        announced, left = self.messages
        self.assertIsInstance(announced, TargetHeartbeat)
        self.assertTrue(announced.is_draining)
        self.assertEqual(announced.cold_seconds, 1.5)
        self.assertEqual(left, LeaveNotice(run=TargetInstance(identity="i-1")))

    def test_start_time(self) -> None:
        """The start time identifies the target's run in heartbeats and leave calls."""
        body = HEARTBEAT | {"born": 1_780_000_000_123}
        self._post("Instances.Heartbeat/i-1", msgspec.json.encode(body))
        self._post("Instances.Leave/i-1", b'{"born": 1780000000123}')
        run = TargetInstance(identity="i-1", born_ms=1_780_000_000_123)
        self.assertEqual([message.run for message in self.messages], [run, run])

    def test_invalid_fields(self) -> None:
        """A call with a missing or invalid field is rejected and counted."""
        wrong = [
            {name: value}
            for name, value in HEARTBEAT.items()
            for value in (None, [], {}, True, -1 if name != "state" else "ended")
        ]
        wrong += [{"slots": 0}, {"slots": 10**9}, {"sequence": 2**60}]
        wrong += [{"cold_remaining_ms": 1e300}, {"born": "1"}, {"born": 1.5}]
        wrong += [{"born": -1}, {"state": "leaving"}, {"service": "log"}]
        for fields in wrong:
            with self.subTest(**fields):
                body = msgspec.json.encode(HEARTBEAT | fields)
                self.assertEqual(self._post("Instances.Heartbeat/i-1", body), 400)
        for name in HEARTBEAT:
            with self.subTest(missing=name):
                rest = {k: v for k, v in HEARTBEAT.items() if k != name}
                body = msgspec.json.encode(rest)
                self.assertEqual(self._post("Instances.Heartbeat/i-1", body), 400)
        body = msgspec.json.encode(HEARTBEAT)
        self.assertEqual(self._post("Instances.Heartbeat/", body), 400)
        self.assertEqual(self._post("Instances.Leave/i-1", b"\xff"), 400)
        self.assertEqual(self.messages, [])
        counted = sum(self.calls.refused_by_reason.values())
        self.assertEqual(counted, len(wrong) + len(HEARTBEAT) + 2)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(
        body=st.one_of(
            st.binary(max_size=200),
            st.dictionaries(
                st.sampled_from([*HEARTBEAT, "born", "other"]),
                st.one_of(
                    st.none(),
                    st.booleans(),
                    st.integers(),
                    st.floats(allow_nan=False, allow_infinity=False),
                    st.text(max_size=9),
                    st.sampled_from(["maps", "ready", "draining"]),
                ),
            ).map(msgspec.json.encode),
        ),
        identity=st.text(max_size=9),
    )
    def test_any_call(self, body, identity) -> None:
        """Any call gives a typed message or a counted rejection."""
        self.messages.clear()
        self.calls.refused_by_reason.clear()
        for call in ("Heartbeat", "Leave"):
            status = self._post(f"Instances.{call}/{identity}", body)
            self.assertIn(status, (200, 400))
        rejected = sum(self.calls.refused_by_reason.values())
        self.assertEqual(len(self.messages) + rejected, 2)
        for message in self.messages:
            self.assertIsInstance(message, TargetHeartbeat | LeaveNotice)

    def test_malformed_calls(self) -> None:
        """A malformed call gets status 4xx and is not handed on."""
        for body in (b"", b"{}", b"[]", b"\xff", b'{"service": 1}'):
            self.assertEqual(self._post("Instances.Heartbeat/i-1", body), 400)
        self.assertEqual(self._post("Instances.Other/i-1"), 404)
        get = Request(method="GET", path="/monsoonpier/Instances.Leave/i-1")
        self.assertEqual(self.calls.handle(get).status, 405)
        self.assertEqual(self.messages, [])


class BoundaryTests(unittest.TestCase):
    """The platform's words stay in the adapter."""

    WORDS = re.compile(
        r"kv-(key|range|watch|txn|lease|keep)|Instances\.|op/config|datagram_addr|"
        r"internal_ports|target_latency_ms|cold_remaining|heartbeat_addr|"
        r"MONSOONPIER_SETTINGS\b|BOUNCED|allow_stale|current_rev"
    )

    def test_no_word_outside(self) -> None:
        """No name of the platform's stands in the product outside its adapter."""
        found = [
            f"{file.relative_to(ROOT)}: {match[0]}"
            for file in sorted((ROOT / "monsoonpier").rglob("*.py"))
            if "platform" not in file.relative_to(ROOT).parts
            for match in [self.WORDS.search(file.read_text(encoding="utf-8"))]
            if match
        ]
        self.assertEqual(found, [])

    def test_adapter_is_small(self) -> None:
        """The adapter only translates; decisions would make it grow."""
        lines = sum(
            len(file.read_text(encoding="utf-8").splitlines())
            for file in (ROOT / "monsoonpier" / "platform").glob("*.py")
        )
        self.assertLess(lines, 1_000)


class StartTests(unittest.TestCase):
    """The start of a daemon."""

    def test_sighup_while_starting(self) -> None:
        """A SIGHUP that arrives during imports does not end the process."""
        before = signal.getsignal(signal.SIGHUP)
        self.addCleanup(gc.enable)
        self.addCleanup(signal.signal, signal.SIGHUP, before)
        with (
            mock.patch.object(sys, "argv", ["platform"]),
            contextlib.redirect_stderr(io.StringIO()),
        ):
            self.assertEqual(platform_main._run(), ExitStatus.BAD_INPUT)
        self.assertIs(signal.getsignal(signal.SIGHUP), signal.SIG_IGN)
