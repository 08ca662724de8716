"""Failures of real processes on loopback, checked against targets' records."""

import asyncio
import random
import signal
import time
import unittest

from monsoonpier.caller import Caller, Done, FlowLost, Late, Unknown
from monsoonpier.exits import ExitStatus
from monsoonpier.operator.change import (
    ConfigurationChange,
    read_audit,
    read_stored,
    store_change,
)
from monsoonpier.store.etcd import EtcdStore
from standins.deployment import Deployment
from standins.load import Load, evaluate

RACES = 50
NO_NEW_WORK_SECONDS = 3.0


class _Case(unittest.IsolatedAsyncioTestCase):
    """Each test runs its own deployment in its own loopback network."""

    async def _start(
        self, net: str, *, balancers: int = 2, maps: int = 2, logs: int = 0
    ) -> Deployment:
        deployment = Deployment(net=net)
        await self.enterAsyncContext(deployment)
        await deployment.start_surroundings()
        names = [(f"maps-{n}", "maps") for n in range(1, maps + 1)]
        names += [(f"logs-{n}", "logs") for n in range(1, logs + 1)]
        await asyncio.gather(
            *(deployment.start_balancer(f"b{n}") for n in range(1, balancers + 1)),
            *(deployment.start_pair(name, service) for name, service in names),
        )
        status, out, err = await deployment.run_operator_command(
            "apply", str(deployment.write_services()), "--wait"
        )
        self.assertEqual(status, ExitStatus.OK, out + err)
        await deployment.wait_ready(*(name for name, _ in names))
        await deployment.wait_ready(*(f"b{n}" for n in range(1, balancers + 1)))
        return deployment

    def _load(self, deployment: Deployment) -> Load:
        return Load(maps=deployment.address("maps"), logs=deployment.address("logs"))

    async def _finish(self, load: Load, deployment: Deployment) -> None:
        """Stop the load and check that no guarantee was violated."""
        await load.stop()
        load_result = evaluate(load, deployment.runs())
        self.assertEqual(load.errors, [])
        self.assertTrue(load_result.is_clean, f"{load_result} {load.count_failures()}")
        self.assertGreater(load_result.requests, 10)


class BalancerFailureTests(_Case):
    """Balancers that are killed, suspended and replaced."""

    async def test_killed_and_suspended(self):
        """A killed and a suspended balancer break no flow and lose no response."""
        deployment = await self._start("127.83.1", balancers=3)
        load = self._load(deployment)
        load.start(streams=10, readers=5, uploaders=0)
        await asyncio.sleep(1.0)
        deployment.nodes_by_name["b1"].signal(signal.SIGKILL)
        await asyncio.sleep(1.0)
        deployment.nodes_by_name["b2"].signal(signal.SIGSTOP)
        await asyncio.sleep(2.0)
        deployment.nodes_by_name["b2"].signal(signal.SIGCONT)
        await asyncio.sleep(1.0)
        await self._finish(load, deployment)

    async def test_rollout_of_everything(self):
        """Replacing all balancers and targets at once breaks no flow or request."""
        deployment = await self._start("127.83.2", maps=2, logs=1)
        load = self._load(deployment)
        load.start(streams=10, readers=5, uploaders=1)
        await asyncio.sleep(0.5)

        async def replace_balancers() -> None:
            for n in (1, 2):
                await deployment.start_balancer(f"b{n + 2}")
                await deployment.wait_ready(f"b{n + 2}")
                self.assertEqual(await deployment.shut_down_balancer(f"b{n}"), 0)

        async def replace_target(old: str, new: str) -> None:
            service = old.split("-")[0]
            await deployment.start_pair(new, service)
            await deployment.wait_ready(new)
            self.assertEqual(await deployment.shut_down_pair(old), 0)

        await asyncio.gather(
            replace_balancers(),
            replace_target("maps-1", "maps-3"),
            replace_target("maps-2", "maps-4"),
            replace_target("logs-1", "logs-2"),
        )
        await asyncio.sleep(0.5)
        await self._finish(load, deployment)

    async def test_unreliable_fabric(self):
        """Duplicated, reordered and lost packets change no outcome."""
        deployment = await self._start("127.83.3", maps=2, logs=1)
        await deployment.set_faults(
            deployment.fabric_url, duplicate=0.1, reorder=0.3, drop=0.05
        )
        load = self._load(deployment)
        load.start(streams=10, readers=5, uploaders=1)
        await asyncio.sleep(4.0)
        await deployment.set_faults(
            deployment.fabric_url, duplicate=0, reorder=0, drop=0
        )
        await self._finish(load, deployment)


class AgentFailureTests(_Case):
    """Agents that are killed, suspended and drained."""

    async def test_killed_and_replaced_at_the_same_address(self):
        """A request whose agent was killed may have run, so it is not retried."""
        deployment = await self._start("127.83.4", maps=1)
        await deployment.set_target_faults("maps-1", slow_factor=100.0)
        load = self._load(deployment)
        async with Caller(deployment.address("maps")) as caller:
            pending = asyncio.create_task(
                load.send_request(caller, "maps", "top-up", deadline=15.0)
            )
            while not deployment.runs():
                await asyncio.sleep(0.05)
            node = deployment.nodes_by_name["maps-1"]
            node.signal(signal.SIGKILL)
            await node.wait()
            await deployment.set_target_faults("maps-1", slow_factor=1.0)
            await deployment.start_agent("maps-1", "maps")
            outcome = await pending
            self.assertIsInstance(outcome, FlowLost | Unknown | Late)
            await deployment.wait_ready("maps-1")
            again = await load.send_request(caller, "maps", "top-up", deadline=10.0)
            self.assertIsInstance(again, Done)
        load_result = evaluate(load, deployment.runs())
        self.assertEqual(load_result.ran_twice, 0)
        self.assertEqual(load_result.false_not_run, 0)
        self.assertEqual(len(deployment.runs()), 2)

    async def test_suspended_and_resumed(self):
        """An agent that was suspended and resumed runs no request twice."""
        deployment = await self._start("127.83.5", maps=2)
        load = self._load(deployment)
        load.start(streams=4, readers=8, uploaders=0)
        await asyncio.sleep(1.0)
        node = deployment.nodes_by_name["maps-1"]
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(6.0)
        node.signal(signal.SIGCONT)
        await asyncio.sleep(1.0)
        await load.stop()
        load_result = evaluate(load, deployment.runs())
        self.assertEqual(load_result.ran_twice, 0)
        self.assertEqual(load_result.false_not_run, 0)
        self.assertEqual(load_result.wrong_service, 0)
        self.assertEqual(load.errors, [])
        self.assertFalse([s.faults for s in load.streams if s.faults])

    async def test_drain(self):
        """A drained target gets no new work after 3 s and finishes its requests."""
        deployment = await self._start("127.83.6", maps=2)
        load = self._load(deployment)
        load.start(streams=10, readers=8, uploaders=0)
        await asyncio.sleep(1.0)
        status, out, err = await deployment.run_operator_command("drain", "maps-1")
        self.assertEqual(status, ExitStatus.OK, out + err)
        drained_at = time.time()
        self.assertEqual(await deployment.nodes_by_name["maps-1"].wait(), 0)
        await asyncio.sleep(1.0)
        await self._finish(load, deployment)
        late = [
            run
            for run in deployment.runs()
            if run["target"] == "maps-1"
            and run["at"] > drained_at + NO_NEW_WORK_SECONDS
        ]
        self.assertEqual(late, [])


class PlatformFailureTests(_Case):
    """Outages and restores of the platform's store, and concurrent changes."""

    async def test_outage_and_restore(self):
        """In an outage new processes get the configuration from peers.

        A restore to an empty store does not revert the configuration.
        """
        deployment = await self._start("127.83.7")
        folder = str(deployment.write_services(queue_per_slot=5))
        status, _, err = await deployment.run_operator_command(
            "apply", folder, "--wait"
        )
        self.assertEqual(status, ExitStatus.OK, err)
        await deployment.nodes_by_name["platform"].stop()
        load = self._load(deployment)
        load.start(streams=5, readers=4, uploaders=0)
        seed = f"{deployment.nodes_by_name['b1'].ip}:9000"
        await deployment.start_balancer("b3", seeds=[seed])
        await deployment.start_pair("maps-3", "maps", seeds=[seed])
        await deployment.wait_ready("b3", "maps-3")
        self.assertEqual(await deployment.shut_down_balancer("b1"), 0)
        self.assertEqual(await deployment.shut_down_pair("maps-1"), 0)
        status, _, err = await deployment.run_operator_command("apply", folder)
        self.assertEqual(status, ExitStatus.UNAVAILABLE)
        self.assertNotIn("Traceback", err)
        # The restored platform is empty, so its revisions start again.
        await deployment.start_platform()
        version = "monsoonpier_configuration_version"
        self.assertEqual((await deployment.metrics("b3"))[version], 2.0)
        for _ in range(100):
            if len(await self._registered(deployment)) == 2:
                break
            await asyncio.sleep(0.2)
        status, out, err = await deployment.run_operator_command(
            "apply", folder, "--wait"
        )
        self.assertEqual(status, ExitStatus.OK, out + err)
        self.assertIn("accepted as version 3", out)
        await self._finish(load, deployment)

    async def _registered(self, deployment: Deployment) -> list[str]:
        platform = EtcdStore(
            addresses=(deployment.platform_url,), draw=random.Random(1)
        )
        try:
            found = await platform.read("/monsoonpier/balancers/", prefix=True)
        finally:
            await platform.close()
        return list(found.values_by_key)

    async def test_lost_responses_and_concurrent_changes(self):
        """A change with a lost response succeeds; of two concurrent ones, one does."""
        deployment = Deployment(net="127.83.8")
        await self.enterAsyncContext(deployment)
        await deployment.start_platform()
        folder = str(deployment.write_services())
        await deployment.set_faults(deployment.platform_url, lose_answers=1)
        status, out, err = await deployment.run_operator_command("apply", folder)
        self.assertEqual(status, ExitStatus.OK, err)
        self.assertIn("accepted as version 1", out)
        results = await asyncio.gather(
            deployment.run_operator_command("apply", folder),
            deployment.run_operator_command("apply", folder),
        )
        self.assertLessEqual(
            {r[0] for r in results}, {ExitStatus.OK, ExitStatus.CONFLICT}
        )
        operators = [
            EtcdStore(addresses=(deployment.platform_url,), draw=random.Random(n))
            for n in (1, 2)
        ]
        before = len(await read_audit(operators[0]))
        for number in range(RACES):
            base = await read_stored(operators[0])
            if number % 5 == 0:
                await deployment.set_faults(deployment.platform_url, lose_answers=1)
            outcomes = await asyncio.gather(
                *(
                    store_change(
                        operator,
                        ConfigurationChange(
                            apply_id=f"{number} {who}",
                            who=who,
                            at="",
                            texts_by_name=base.stored.files,
                        ),
                        base=base,
                        draw=random.Random(number),
                    )
                    for operator, who in zip(operators, ("ana", "ben"), strict=True)
                )
            )
            names = sorted(type(outcome).__name__ for outcome in outcomes)
            self.assertEqual(names, ["Accepted", "Conflict"])
        self.assertEqual(len(await read_audit(operators[0])), before + RACES)
        for operator in operators:
            await operator.close()


class CommandLineTests(_Case):
    """Operator mistakes give a clear message and an exit status."""

    async def test_operators_mistakes(self):
        """Invalid files and an unreachable platform give messages, no traceback."""
        deployment = Deployment(net="127.83.9")
        await self.enterAsyncContext(deployment)
        bad = deployment.folder / "bad.yaml"
        bad.write_text("services: [\n")
        table = (
            (("check", str(bad)), ExitStatus.BAD_INPUT, "bad.yaml:2:1: not YAML"),
            (("check", "/nowhere.yaml"), ExitStatus.BAD_INPUT, "No such file"),
            (("apply", str(bad)), ExitStatus.BAD_INPUT, "not YAML"),
            (("history",), ExitStatus.UNAVAILABLE, "the platform can't be reached"),
            (("status",), ExitStatus.UNAVAILABLE, "the platform can't be reached"),
            (("drain", "x"), ExitStatus.UNAVAILABLE, "the platform can't be reached"),
            (
                ("rollback", "3"),
                ExitStatus.UNAVAILABLE,
                "the platform can't be reached",
            ),
        )
        for arguments, expected, text in table:
            with self.subTest(arguments=arguments):
                if arguments[0] == "check":
                    result = await self._check(deployment, *arguments)
                else:
                    result = await deployment.run_operator_command(*arguments)
                status, _, err = result
                self.assertEqual(status, expected, err)
                self.assertIn(text, err)
                self.assertNotIn("Traceback", err)

    async def _check(self, deployment: Deployment, *arguments: str):
        node = await deployment._spawn("check", "", "-m", "monsoonpier", *arguments)
        status = await node.wait()
        return status, "", node.log.read_text()

    async def test_port_in_use(self):
        """A process whose port is in use exits with a message and a status."""
        deployment = Deployment(net="127.83.10")
        await self.enterAsyncContext(deployment)
        await deployment.start_surroundings()
        await deployment.start_balancer("b1")
        settings = deployment.folder / "balancer-b1.yaml"
        node = await deployment._spawn(
            "second", "", "-m", "monsoonpier", "balancer", str(settings)
        )
        self.assertEqual(await node.wait(), ExitStatus.UNAVAILABLE)
        text = node.log.read_text()
        self.assertIn("ddress already in use", text)
        self.assertNotIn("Traceback", text)

    async def test_second_signal(self):
        """A second SIGTERM ends a process at once."""
        deployment = await self._start("127.83.11", balancers=1, maps=1)
        await deployment.set_target_faults("maps-1", slow_factor=1000.0)
        async with Caller(deployment.address("maps")) as caller:
            pending = asyncio.create_task(caller.request("top-up", b"maps 1 answer=0"))
            while not deployment.runs():
                await asyncio.sleep(0.05)
            node = deployment.nodes_by_name["maps-1"]
            node.signal(signal.SIGTERM)
            await asyncio.sleep(0.5)
            self.assertIsNone(node.process.returncode)
            node.signal(signal.SIGTERM)
            self.assertEqual(await node.wait(5.0), ExitStatus.INTERRUPTED)
            pending.cancel()
            await asyncio.gather(pending, return_exceptions=True)
