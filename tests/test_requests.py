"""Requests under faults of targets, counted from the targets' record."""

import asyncio
import itertools
import random
import unittest
from unittest import mock

import aiohttp

from limpetyard.fleet import VmState
from limpetyard.requests import Fate, TargetPool, Verdict
from limpetyard.requests import _client as client
from limpetyard.requests import _outcomes as fate
from limpetyard.requests._service import RequestService
from tests.frontends import HEADERS, FrontendTest


class AnswerTest(FrontendTest):
    """Whole and own answers."""

    async def test_everyone_gets_its_own_answer(self):
        """Answers that come in another order reach their callers."""

        async def one(number: int) -> None:
            work_ms = str((number * 7919) % 50)
            status, text, _ = await self.ask(
                f"r{number}", **{"X-Work-Ms": work_ms}
            )
            self.assertEqual(status, 200)
            self.assertEqual(text, f"r{number}:{f'r{number}'[::-1]}")

        await asyncio.gather(*(one(number) for number in range(60)))

    async def test_cut_answer_is_an_error(self):
        """Half an answer never looks like a whole one."""
        self.assertEqual((await self._cut())[0], 502)

    async def test_cut_answer_without_guard(self):
        """The check sees a half answer that is passed on."""

        async def lenient(resp, max_answer):
            parts = []
            try:
                async for part in resp.content.iter_any():
                    parts.append(part)
            except aiohttp.ClientError:
                pass
            return b"".join(parts)

        with mock.patch.object(client, "_read", lenient):
            self.assertEqual((await self._cut())[0], 200)

    async def _cut(self) -> tuple[int, str, str]:
        for number in range(2):
            self.switch(number, cut_answers=1)
        return await self.ask("cut")


class AtMostOnceTest(FrontendTest):
    """Requests that must not run twice."""

    async def test_dropped_answer_is_not_repeated(self):
        """A request whose answer is lost after the effect ran once."""
        for method in ("POST", "GET", "PUT", "DELETE"):
            with self.subTest(method=method):
                self.assertEqual(await self._runs_after_drop(method), 1)

    async def test_library_repeats_without_guard(self):
        """The client library alone repeats a GET on a kept connection."""
        self.assertEqual(await self._runs_with_library_retry(), 2)

    async def test_fate_table_without_guard(self):
        """The check sees a retry of what was sent."""
        table = {
            **fate._VERDICTS,
            (Fate.NO_ANSWER, False): Verdict(
                True, fate.ErrorKind.OUTCOME_UNKNOWN
            ),
        }
        with mock.patch.dict(fate._VERDICTS, table):
            self._drop_next()
            await self.ask("twice")
        self.assertGreater(self.runs("twice"), 1)

    async def test_idempotent_request_is_retried(self):
        """A request that may run twice gets another attempt."""
        self._drop_next()
        status, _, _ = await self.ask("again", service="lookup")
        self.assertEqual(status, 200)

    async def test_caller_can_forbid_the_retry(self):
        """A caller may mark its request non-idempotent."""
        self._drop_next()
        status, _, ran = await self.ask(
            "once", "lookup", **{"X-Limpetyard-Idempotent": "false"}
        )
        self.assertEqual((status, ran, self.runs("once")), (502, "unknown", 1))

    def _drop_next(self) -> None:
        for number in range(2):
            self.switch(number, drop_after_effect=1)

    async def _runs_after_drop(self, method: str) -> int:
        name = f"drop-{method}"
        for number in range(8):
            await self.ask(f"warm-{method}-{number}", method=method)
        self._drop_next()
        status, _, ran = await self.ask(name, method=method)
        self.assertEqual((status, ran), (502, "unknown"))
        return self.runs(name)

    async def _runs_with_library_retry(self) -> int:
        create = client._Pool.__init__

        def retrying(self, connections: int) -> None:
            create(self, connections)
            self._session._retry_connection = True

        with mock.patch.object(client._Pool, "__init__", retrying):
            for number in range(8):
                await self.ask(f"warm-{number}", method="GET")
            self.switch(0, drop_after_effect=1)
            self.switch(1, drop_after_effect=1)
            await self.ask("get", method="GET")
        return self.runs("get")


# Requests under way at one time: few enough that their deadlines, 30 ms and
# more, are not over before they are sent, also on a busy machine.
AT_ONCE = 10


class NotRunTest(FrontendTest):
    """A request that is called not run did not run."""

    target_count = 3

    async def test_not_run_is_true_under_faults(self):
        """Every refusal that says so is true, whatever the targets do."""
        for seed in range(4):
            with self.subTest(seed=seed):
                self.assertEqual(await self._lies(seed), [])

    async def test_not_run_without_guard(self):
        """The check sees a guess that nothing ran."""
        with mock.patch.object(
            client._Progress, "fate", lambda self: Fate.NOT_SENT
        ):
            lies = [await self._lies(seed) for seed in range(2)]
        self.assertTrue(any(lies))

    async def _lies(self, seed: int) -> list[str]:
        """Returns requests that ran against what was said, or ran twice."""
        rng = random.Random(seed)
        lies: list[str] = []
        checks: list[tuple] = []

        async def one(number: int) -> None:
            name = f"s{seed}-{number}-{rng.random()}"
            wait = str(rng.choice([30, 100, 400]))
            service = rng.choice(["tally", "lookup"])
            work = str(rng.choice([0, 5, 60]))
            status, text, ran = await self.ask(
                name,
                service,
                **{"X-Limpetyard-Deadline-Ms": wait, "X-Work-Ms": work},
            )
            checks.append((name, service, status, text, ran))

        def check(name, service, status, text, ran) -> None:
            count = self.runs(name)
            if ran == "no" and count:
                lies.append(f"{name} said not run, ran {count} times")
            if service == "tally" and count > 1:
                lies.append(f"{name} ran {count} times")
            if status == 200 and text != f"{name}:{name[::-1]}":
                lies.append(f"{name} got {text!r}")

        async def faults(requests: asyncio.Future) -> None:
            while not requests.done():
                self.switch(rng.randrange(3), **rng.choice(_FAULTS))
                await asyncio.sleep(0.04)
            for number in range(3):
                self.switch(number)

        slots = asyncio.Semaphore(AT_ONCE)

        async def in_turn(number: int) -> None:
            async with slots:
                await one(number)

        requests = asyncio.gather(*(in_turn(n) for n in range(200)))
        await asyncio.gather(faults(requests), requests)
        await asyncio.sleep(0.3)
        for answer in checks:
            check(*answer)
        return lies


_FAULTS: list[dict] = [
    {},
    {"refuse": True},
    {"slow_ms": 80},
    {"silent": True},
    {"drop_after_effect": 5},
    {"cut_answers": 5},
]


class LeavingTest(FrontendTest):
    """Targets that leave, and services that do."""

    async def test_leaving_target_gets_nothing_new(self):
        """A target that the list calls leaving gets no request."""
        self.assertEqual(await self._arrivals_after_leaving(), 0)

    async def test_leaving_target_without_guard(self):
        """The check sees requests at a target that leaves."""
        update = TargetPool.update

        def blind(self, vms, own_id, members, slots, now_ms):
            live = [
                vm
                if vm.state is VmState.LIVE
                else type(vm)(vm.id, vm.role, "z", vm.address)
                for vm in vms
            ]
            update(self, live, own_id, members, slots, now_ms)

        with mock.patch.object(TargetPool, "update", blind):
            self.assertGreater(await self._arrivals_after_leaving(), 0)

    async def test_drain_finishes_requests_in_progress(self):
        """A request that is under way when the daemon leaves is answered."""
        self.assertEqual(await self._answers_while_draining(), [200] * 20)

    async def test_drain_without_guard(self):
        """The check sees requests that are cut off."""

        async def hasty(self) -> None:
            await self._site.stop()

        with mock.patch.object(RequestService, "drain", hasty):
            self.assertNotEqual(
                await self._answers_while_draining(), [200] * 20
            )

    async def _arrivals_after_leaving(self) -> int:
        self.set_vm_state(0, VmState.LEAVING)
        await self.refresh()
        before = self.targets[0].arrivals()
        for number in range(20):
            await self.ask(f"after-{number}")
        return self.targets[0].arrivals() - before

    def _arrivals(self) -> int:
        return sum(target.arrivals() for target in self.targets)

    async def _answers_while_draining(self) -> list[int]:
        async def one(number: int) -> int:
            try:
                status, _, _ = await self.ask(
                    f"slow-{number}", **{"X-Work-Ms": "400"}
                )
            except aiohttp.ClientError:
                return 0
            return status

        before = self._arrivals()
        asked = [asyncio.ensure_future(one(n)) for n in range(20)]
        async with asyncio.timeout(30):
            while self._arrivals() - before < len(asked):
                await asyncio.sleep(0.01)
        frontend = self.frontends[0]
        frontend.draining = True
        await frontend.drain()
        frontend._runner._shutdown_timeout = 0.01
        await frontend.stop()
        return await asyncio.gather(*asked)


class SilentConnectionTest(FrontendTest):
    """Connections that go silent while new ones work."""

    target_count = 1

    async def test_one_silent_connection_costs_one_attempt(self):
        """After one timeout no request is put on an old connection."""
        await asyncio.gather(
            *(self.ask(f"warm-{n}", **{"X-Work-Ms": "30"}) for n in range(8))
        )
        self.switch(0, silent=True)
        first = await self.ask("first", **{"X-Limpetyard-Deadline-Ms": "200"})
        self.assertEqual((first[0], first[2]), (502, "unknown"))
        statuses = [(await self.ask(f"then-{n}"))[0] for n in range(8)]
        self.assertEqual(statuses, [200] * 8)


class BadInputTest(FrontendTest):
    """Each kind of bad input gets its kind, and the service goes on."""

    async def test_kinds(self):
        """The closed table answers."""
        url = f"{self.urls[0]}/v1"
        cases = [
            ("unknown_service", f"{url}/nowhere/x", HEADERS, b""),
            ("unknown_partner", f"{url}/tally/x", {}, b""),
            (
                "unknown_partner",
                f"{url}/tally/x",
                {"X-Limpetyard-Partner": "nobody"},
                b"",
            ),
            ("body_too_large", f"{url}/tally/x", HEADERS, b"x" * 1001),
        ]
        bad_headers = itertools.product(
            ["X-Limpetyard-Deadline-Ms"], ["-1", "soon", "0", "9" * 30]
        )
        for header, value in [
            *bad_headers,
            ("X-Limpetyard-Class", "best"),
            ("X-Limpetyard-Idempotent", "perhaps"),
        ]:
            headers = {**HEADERS, header: value}
            cases.append(("bad_request", f"{url}/tally/x", headers, b""))
        for kind, address, headers, body in cases:
            with self.subTest(kind=kind, headers=headers):
                async with self.http.post(
                    address, headers=headers, data=body
                ) as resp:
                    self.assertEqual(resp.headers["X-Limpetyard-Error"], kind)
                    self.assertEqual(resp.headers["X-Limpetyard-Ran"], "no")
        self.assertEqual((await self.ask("after"))[0], 200)

    async def test_chunked_body_over_the_limit(self):
        """A body without a length is counted as it comes."""

        async def chunks():
            for _ in range(5):
                yield b"x" * 300

        async with self.http.post(
            f"{self.urls[0]}/v1/tally/x", headers=HEADERS, data=chunks()
        ) as resp:
            self.assertEqual(
                resp.headers["X-Limpetyard-Error"], "body_too_large"
            )

    async def test_truncated_body_reaches_no_target(self):
        """A body that ends early is not passed on."""
        host = self.urls[0].removeprefix("http://")
        name, port = host.split(":")
        before = sum(t.arrivals() for t in self.targets)
        reader, writer = await asyncio.open_connection(name, int(port))
        writer.write(
            b"POST /v1/tally/x HTTP/1.1\r\nHost: x\r\n"
            b"X-Limpetyard-Partner: north\r\nContent-Length: 100\r\n\r\nhalf"
        )
        writer.write_eof()
        await asyncio.wait_for(reader.read(), 5)
        writer.close()
        self.assertEqual(sum(t.arrivals() for t in self.targets), before)
        self.assertEqual((await self.ask("after"))[0], 200)


class NoTargetTest(FrontendTest):
    """A service that no target serves."""

    target_count = 0

    async def test_is_told_at_once(self):
        """The caller does not wait for its deadline."""
        async with self.http.post(
            f"{self.urls[0]}/v1/tally/x", headers=HEADERS
        ) as resp:
            self.assertEqual(resp.headers["X-Limpetyard-Error"], "no_target")
            self.assertEqual(resp.headers["X-Limpetyard-Ran"], "no")


class ShedTest(FrontendTest):
    """Queues by deadline with a bound."""

    target_count = 1

    async def test_batch_is_shed_first(self):
        """A full queue refuses batch requests and keeps urgent ones."""
        batch = [
            asyncio.ensure_future(
                self.ask(
                    f"b{n}",
                    **{"X-Limpetyard-Class": "batch", "X-Work-Ms": "30"},
                )
            )
            for n in range(108)
        ]
        await asyncio.sleep(0.05)
        urgent = await asyncio.gather(
            *(self.ask(f"u{n}", **{"X-Work-Ms": "1"}) for n in range(20))
        )
        self.assertEqual([u[0] for u in urgent], [200] * 20)
        answers = await asyncio.gather(*batch)
        refused = [a for a in answers if a[0] == 503]
        self.assertTrue(refused)
        self.assertEqual({a[2] for a in refused}, {"no"})

    async def test_slots_are_kept(self):
        """No more requests than slots are at the target at one time."""
        await asyncio.gather(
            *(self.ask(f"r{n}", **{"X-Work-Ms": "5"}) for n in range(60))
        )
        self.assertLessEqual(self.targets[0].record.most_present, 8)


if __name__ == "__main__":
    unittest.main()
