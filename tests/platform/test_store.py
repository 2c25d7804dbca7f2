"""Client of the store against the stand-in store over HTTP."""

import asyncio
import unittest

from aiohttp import web

from limpetyard._clock import BootClock
from limpetyard.platform._store import PlatformStore
from limpetyard.store import (
    FencedError,
    KeyedRecord,
    KeyFollower,
    Producer,
    RefusalKind,
    SequenceError,
    StoredRecord,
    StoreOffsetTrimmedError,
    StoreRefusedError,
)
from standins.platform._http import StoreServer
from standins.platform._store import StoreModel


class PlatformStoreTest(unittest.IsolatedAsyncioTestCase):
    """Calls to the store and their errors."""

    async def asyncSetUp(self) -> None:
        """Starts a store and connects a client."""
        self.model = StoreModel(BootClock())
        self.server = StoreServer(self.model)
        self.runner = web.ServerRunner(web.Server(self.server.handle))
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.store = PlatformStore(f"127.0.0.1:{port}")

    async def asyncTearDown(self) -> None:
        """Closes the client and stops the store."""
        await self.store.close()
        await self.runner.cleanup()

    async def test_append_and_read(self):
        """A read returns records with their offsets; a removal is None."""
        records = [KeyedRecord("a", b"1"), KeyedRecord("b", None)]
        first = await self.store.append("jobs", 0, records)
        page = await self.store.read("jobs", 0, 0, 0)
        self.assertEqual(first, 0)
        self.assertEqual(page.next_offset, 2)
        self.assertEqual(
            [(r.offset, r.key, r.value) for r in page.records],
            [(0, "a", b"1"), (1, "b", None)],
        )

    async def test_read_latest(self):
        """Pages return the latest record of each key in the order of keys."""
        records = [KeyedRecord(f"{n:04}", b"old") for n in range(700)]
        await self.store.append("jobs", 0, records)
        await self.store.append("jobs", 0, [KeyedRecord("0001", b"new")])
        page = await self.store.read_latest("jobs", 0, "")
        rest = await self.store.read_latest("jobs", 0, page.records[-1].key)
        self.assertTrue(page.more)
        self.assertFalse(rest.more)
        self.assertEqual(len(page.records) + len(rest.records), 700)
        self.assertEqual(page.records[1].value, b"new")

    async def test_reserved_characters_at_the_end_of_a_page(self):
        """The rest of the list was never read, or read from another key."""
        first = [KeyedRecord(f"0{n:03}", b"1") for n in range(499)]
        last = [KeyedRecord(key, b"1") for key in ("1%B", "1z", "2")]
        for key in ("1%A", "1%42", "1&A", "1#A", "1+A", "1 A", "1\u00e9"):
            with self.subTest(key):
                self.model.drop_history(("jobs",))
                records = [*first, KeyedRecord(key, b"1"), *last]
                await self.store.append("jobs", 0, records)
                loaded: list[StoredRecord] = []
                follower = KeyFollower(
                    self.store, BootClock(), "jobs", 0, loaded.extend
                )
                async with asyncio.timeout(5):
                    await follower.load()
                self.assertEqual(
                    sorted(record.key for record in loaded),
                    sorted(record.key for record in records),
                )

    async def test_fenced(self):
        """An append with a lower epoch is rejected."""
        await self.store.append("jobs", 0, [], Producer("owner", 5, 0))
        with self.assertRaises(FencedError):
            await self.store.append(
                "jobs", 0, [KeyedRecord("a", b"1")], Producer("owner", 4, 0)
            )

    async def test_repeated_append(self):
        """A repeated append returns its first offset and stores no copy."""
        producer = Producer("p", 1, 0)
        record = [KeyedRecord("a", b"1")]
        first = await self.store.append("jobs", 0, record, producer)
        repeated = await self.store.append("jobs", 0, record, producer)
        self.assertEqual(first, repeated)
        page = await self.store.read("jobs", 0, 0, 0)
        self.assertEqual(page.end, 1)

    async def test_sequence(self):
        """The error for a sequence gap holds the expected number."""
        record = [KeyedRecord("a", b"1")]
        await self.store.append("jobs", 0, record, Producer("p", 1, 0))
        with self.assertRaises(SequenceError) as caught:
            await self.store.append("jobs", 0, record, Producer("p", 1, 2))
        self.assertEqual(caught.exception.expected, 1)

    async def test_offset_trimmed(self):
        """Reading below the retained range raises its own error."""
        await self.store.append("jobs", 0, [KeyedRecord("a", b"1")])
        self.model.drop_history()
        with self.assertRaises(StoreOffsetTrimmedError):
            await self.store.read("jobs", 0, 0, 0)

    async def test_refusals(self):
        """Each error status maps to its kind of refusal."""
        kinds = {
            429: RefusalKind.RATE,
            503: RefusalKind.BUSY,
            507: RefusalKind.FULL,
        }
        for status, kind in kinds.items():
            self.server.status = status
            with self.assertRaises(StoreRefusedError) as caught:
                await self.store.append("jobs", 0, [KeyedRecord("a", b"1")])
            self.assertIs(caught.exception.kind, kind)

    async def test_unreachable(self):
        """A refused connection means that nothing was stored."""
        store = PlatformStore("127.0.0.1:1")
        with self.assertRaises(StoreRefusedError) as caught:
            await store.append("jobs", 0, [KeyedRecord("a", b"1")])
        self.assertIs(caught.exception.kind, RefusalKind.UNREACHABLE)
        await store.close()

    async def test_unreadable_record(self):
        """Records without a valid key are counted and skipped."""
        await self.store.append("jobs", 0, [KeyedRecord("a", b"1")] * 3)
        self.server.raw_records = (
            b"\0\0\0\x01\xff" + b"\0\0\0\0" + b"\0\0\0\x03\x01ab"
        )
        page = await self.store.read("jobs", 0, 0, 0)
        self.assertEqual(page.unreadable, 2)
        self.assertEqual([r.key for r in page.records], ["a"])
        self.assertEqual(page.next_offset, 3)

    async def test_group(self):
        """A member gets its partitions; others can look up their owner."""
        assignment = await self.store.join("cells", "m", "jobs", 1000, 0)
        self.assertIn(0, assignment.partitions)
        self.assertEqual((await self.store.partition_owners("cells"))[0], "m")
        await self.store.leave("cells", "m")
        self.assertEqual((await self.store.partition_owners("cells"))[0], "")


if __name__ == "__main__":
    unittest.main()
