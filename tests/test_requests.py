"""Tests of the request path while targets fail.

The tests count executions from the records that the targets keep. A test named
`..._without_guard` disables one safeguard and shows that the check detects it.
"""

import asyncio
import itertools
import random
import unittest
from unittest import mock

import aiohttp

from limpetyard.fleet import VmState
from limpetyard.requests import AttemptOutcome, RetryDecision, TargetPool
from limpetyard.requests import _client as client
from limpetyard.requests import _outcomes as outcomes
from limpetyard.requests._service import RequestService
from tests.frontends import HEADERS, FrontendTest


class AnswerTest(FrontendTest):
    """Each caller gets its own, complete response."""

    async def test_each_caller_gets_its_own_response(self):
        """Responses that arrive out of order reach the right callers."""

        async def send_one(number: int) -> None:
            work_ms = str((number * 7919) % 50)
            status, text, _ = await self.send_request(
                f"r{number}", **{"X-Work-Ms": work_ms}
            )
            self.assertEqual(status, 200)
            self.assertEqual(text, f"r{number}:{f'r{number}'[::-1]}")

        await asyncio.gather(*(send_one(number) for number in range(60)))

    async def test_truncated_response_is_an_error(self):
        """A truncated response is reported as an error."""
        self.assertEqual((await self._send_truncated())[0], 502)

    async def test_truncated_response_without_guard(self):
        """Without the error on short bodies, the client forwards one as 200."""

        async def read_leniently(resp, max_response_bytes):
            parts = []
            try:
                async for part in resp.content.iter_any():
                    parts.append(part)
            except aiohttp.ClientError:
                pass
            return b"".join(parts)

        with mock.patch.object(client, "_read_body", read_leniently):
            self.assertEqual((await self._send_truncated())[0], 200)

    async def _send_truncated(self) -> tuple[int, str, str]:
        for number in range(2):
            self.set_faults(number, cut_answers=1)
        return await self.send_request("cut")


class AtMostOnceTest(FrontendTest):
    """Requests that must run at most once."""

    async def test_dropped_response_is_not_retried(self):
        """A request whose response is lost after execution runs once."""
        for method in ("POST", "GET", "PUT", "DELETE"):
            with self.subTest(method=method):
                self.assertEqual(
                    await self._runs_after_dropped_response(method), 1
                )

    async def test_library_retries_without_guard(self):
        """The HTTP library retries a GET on a kept-alive connection itself."""
        self.assertEqual(await self._runs_with_library_retry(), 2)

    async def test_retry_table_without_guard(self):
        """With a retry after a request was sent, it runs more than once."""
        table = {
            **outcomes._RETRY_DECISIONS,
            (AttemptOutcome.NO_RESPONSE, False): RetryDecision(
                True, outcomes.ErrorKind.OUTCOME_UNKNOWN
            ),
        }
        with mock.patch.dict(outcomes._RETRY_DECISIONS, table):
            self._drop_next_response()
            await self.send_request("twice")
        self.assertGreater(self.runs("twice"), 1)

    async def test_idempotent_request_is_retried(self):
        """An idempotent request gets another attempt."""
        self._drop_next_response()
        status, _, _ = await self.send_request("again", service="lookup")
        self.assertEqual(status, 200)

    async def test_caller_can_forbid_the_retry(self):
        """A caller can mark its request as not idempotent."""
        self._drop_next_response()
        status, _, ran = await self.send_request(
            "once", "lookup", **{"X-Limpetyard-Idempotent": "false"}
        )
        self.assertEqual((status, ran, self.runs("once")), (502, "unknown", 1))

    def _drop_next_response(self) -> None:
        for number in range(2):
            self.set_faults(number, drop_after_effect=1)

    async def _runs_after_dropped_response(self, method: str) -> int:
        name = f"drop-{method}"
        for number in range(8):
            await self.send_request(f"warm-{method}-{number}", method=method)
        self._drop_next_response()
        status, _, ran = await self.send_request(name, method=method)
        self.assertEqual((status, ran), (502, "unknown"))
        return self.runs(name)

    async def _runs_with_library_retry(self) -> int:
        original_init = client._ConnectionPool.__init__

        def retrying(self, connections: int) -> None:
            original_init(self, connections)
            self._session._retry_connection = True

        with mock.patch.object(client._ConnectionPool, "__init__", retrying):
            for number in range(8):
                await self.send_request(f"warm-{number}", method="GET")
            self.set_faults(0, drop_after_effect=1)
            self.set_faults(1, drop_after_effect=1)
            await self.send_request("get", method="GET")
        return self.runs("get")


# Few enough that a request with the shortest deadline, 30 ms, is sent before it
# expires, even on a busy machine.
MAX_CONCURRENT_REQUESTS = 10


class NotRunTest(FrontendTest):
    """A request that is reported as not run has not run."""

    target_count = 3

    async def test_not_run_is_true_under_faults(self):
        """Under target faults, no request reported as not run has run."""
        for seed in range(4):
            with self.subTest(seed=seed):
                self.assertEqual(await self._violations(seed), [])

    async def test_not_run_without_guard(self):
        """If every failed attempt counts as not sent, the report is wrong."""
        with mock.patch.object(
            client._AttemptProgress,
            "outcome",
            lambda self: AttemptOutcome.NOT_SENT,
        ):
            violations = [await self._violations(seed) for seed in range(2)]
        self.assertTrue(any(violations))

    async def _violations(self, seed: int) -> list[str]:
        """Returns wrong reports, duplicate executions and wrong responses."""
        rng = random.Random(seed)
        violations: list[str] = []
        responses: list[tuple] = []

        async def send_one(number: int) -> None:
            name = f"s{seed}-{number}-{rng.random()}"
            deadline_ms = str(rng.choice([30, 100, 400]))
            service = rng.choice(["tally", "lookup"])
            work_ms = str(rng.choice([0, 5, 60]))
            status, text, ran = await self.send_request(
                name,
                service,
                **{
                    "X-Limpetyard-Deadline-Ms": deadline_ms,
                    "X-Work-Ms": work_ms,
                },
            )
            responses.append((name, service, status, text, ran))

        def check_response(name, service, status, text, ran) -> None:
            count = self.runs(name)
            if ran == "no" and count:
                violations.append(
                    f"{name} was reported as not run but ran {count} times"
                )
            if service == "tally" and count > 1:
                violations.append(f"{name} ran {count} times")
            if status == 200 and text != f"{name}:{name[::-1]}":
                violations.append(f"{name} got {text!r}")

        async def inject_faults(requests: asyncio.Future) -> None:
            while not requests.done():
                self.set_faults(rng.randrange(3), **rng.choice(_FAULTS))
                await asyncio.sleep(0.04)
            for number in range(3):
                self.set_faults(number)

        slots = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

        async def send_limited(number: int) -> None:
            async with slots:
                await send_one(number)

        requests = asyncio.gather(*(send_limited(n) for n in range(200)))
        await asyncio.gather(inject_faults(requests), requests)
        await asyncio.sleep(0.3)
        for response in responses:
            check_response(*response)
        return violations


_FAULTS: list[dict] = [
    {},
    {"refuse": True},
    {"slow_ms": 80},
    {"silent": True},
    {"drop_after_effect": 5},
    {"cut_answers": 5},
]


class LeavingTest(FrontendTest):
    """Targets that are leaving and request services that drain."""

    async def test_leaving_target_gets_nothing_new(self):
        """A target in the state LEAVING gets no request."""
        self.assertEqual(await self._requests_after_leaving(), 0)

    async def test_leaving_target_without_guard(self):
        """If the state is ignored, a leaving target gets requests."""
        update = TargetPool.update

        def update_as_live(self, vms, own_id, members, slots, now_ms):
            all_live = [
                vm
                if vm.state is VmState.LIVE
                else type(vm)(vm.id, vm.role, "z", vm.address)
                for vm in vms
            ]
            update(self, all_live, own_id, members, slots, now_ms)

        with mock.patch.object(TargetPool, "update", update_as_live):
            self.assertGreater(await self._requests_after_leaving(), 0)

    async def test_drain_finishes_requests_in_progress(self):
        """A request in flight when the daemon drains gets its response."""
        self.assertEqual(await self._statuses_while_draining(), [200] * 20)

    async def test_drain_without_guard(self):
        """Without the wait for requests in flight, some are aborted."""

        async def drain_without_waiting(self) -> None:
            await self._site.stop()

        with mock.patch.object(RequestService, "drain", drain_without_waiting):
            self.assertNotEqual(
                await self._statuses_while_draining(), [200] * 20
            )

    async def _requests_after_leaving(self) -> int:
        self.set_vm_state(0, VmState.LEAVING)
        await self.refresh()
        before = self.targets[0].arrivals()
        for number in range(20):
            await self.send_request(f"after-{number}")
        return self.targets[0].arrivals() - before

    def _arrivals(self) -> int:
        return sum(target.arrivals() for target in self.targets)

    async def _statuses_while_draining(self) -> list[int]:
        async def send_one(number: int) -> int:
            try:
                status, _, _ = await self.send_request(
                    f"slow-{number}", **{"X-Work-Ms": "400"}
                )
            except aiohttp.ClientError:
                return 0
            return status

        before = self._arrivals()
        pending = [asyncio.ensure_future(send_one(n)) for n in range(20)]
        async with asyncio.timeout(30):
            while self._arrivals() - before < len(pending):
                await asyncio.sleep(0.01)
        frontend = self.frontends[0]
        frontend.draining = True
        await frontend.drain()
        frontend._runner._shutdown_timeout = 0.01
        await frontend.stop()
        return await asyncio.gather(*pending)


class SilentConnectionTest(FrontendTest):
    """Connections that stop responding while new ones work."""

    target_count = 1

    async def test_one_silent_connection_costs_one_attempt(self):
        """After one timeout no request uses a connection of the old pool."""
        await asyncio.gather(
            *(
                self.send_request(f"warm-{n}", **{"X-Work-Ms": "30"})
                for n in range(8)
            )
        )
        self.set_faults(0, silent=True)
        first = await self.send_request(
            "first", **{"X-Limpetyard-Deadline-Ms": "200"}
        )
        self.assertEqual((first[0], first[2]), (502, "unknown"))
        statuses = [(await self.send_request(f"then-{n}"))[0] for n in range(8)]
        self.assertEqual(statuses, [200] * 8)


class BadInputTest(FrontendTest):
    """Each bad input gets its error kind, and the service keeps working."""

    async def test_kinds(self):
        """Each bad input is reported with its error kind and as not run."""
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
        self.assertEqual((await self.send_request("after"))[0], 200)

    async def test_chunked_body_over_the_limit(self):
        """The size limit also holds for a body without Content-Length."""

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
        """A body shorter than its Content-Length is not forwarded."""
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
        self.assertEqual((await self.send_request("after"))[0], 200)


class NoTargetTest(FrontendTest):
    """A service without targets."""

    target_count = 0

    async def test_error_is_immediate(self):
        """The error does not wait for the request's deadline."""
        async with self.http.post(
            f"{self.urls[0]}/v1/tally/x", headers=HEADERS
        ) as resp:
            self.assertEqual(resp.headers["X-Limpetyard-Error"], "no_target")
            self.assertEqual(resp.headers["X-Limpetyard-Ran"], "no")


class ShedTest(FrontendTest):
    """Load shedding from a full queue, and the slot limit."""

    target_count = 1

    async def test_batch_is_shed_first(self):
        """A full queue sheds batch requests and keeps urgent ones."""
        # Fills the target's 8 slots and the queue of 100 requests.
        batch = [
            asyncio.ensure_future(
                self.send_request(
                    f"b{n}",
                    **{"X-Limpetyard-Class": "batch", "X-Work-Ms": "30"},
                )
            )
            for n in range(108)
        ]
        await asyncio.sleep(0.05)
        urgent = await asyncio.gather(
            *(
                self.send_request(f"u{n}", **{"X-Work-Ms": "1"})
                for n in range(20)
            )
        )
        self.assertEqual([u[0] for u in urgent], [200] * 20)
        responses = await asyncio.gather(*batch)
        shed = [r for r in responses if r[0] == 503]
        self.assertTrue(shed)
        self.assertEqual({r[2] for r in shed}, {"no"})

    async def test_slot_limit_holds(self):
        """A target never has more requests in flight than slots."""
        await asyncio.gather(
            *(
                self.send_request(f"r{n}", **{"X-Work-Ms": "5"})
                for n in range(60)
            )
        )
        self.assertLessEqual(self.targets[0].record.most_present, 8)


if __name__ == "__main__":
    unittest.main()
