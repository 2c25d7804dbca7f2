"""The store's client against the stand-in's wire form."""

import unittest

from aiohttp import web

from limpetyard._clock import BootClock
from limpetyard.platform._store import PlatformStore
from limpetyard.store import (
    FencedError,
    KeyedRecord,
    OffsetOutOfRangeError,
    Producer,
    RefusalKind,
    SequenceError,
    StoreRefusedError,
)
from standins.platform._http import StoreServer
from standins.platform._store import StoreModel


class PlatformStoreTest(unittest.IsolatedAsyncioTestCase):
    """Calls and their failures."""

    async def asyncSetUp(self) -> None:
        """Starts a store."""
        self.model = StoreModel(BootClock())
        self.server = StoreServer(self.model)
        self.runner = web.ServerRunner(web.Server(self.server.handle))
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.store = PlatformStore(f"127.0.0.1:{port}")

    async def asyncTearDown(self) -> None:
        """Stops it."""
        await self.store.close()
        await self.runner.cleanup()

    async def test_append_and_read(self):
        """Records come back with their offsets, a removal as None."""
        records = [KeyedRecord("a", b"1"), KeyedRecord("b", None)]
        first = await self.store.append("jobs", 0, records)
        page = await self.store.read("jobs", 0, 0, 0)
        self.assertEqual(first, 0)
        self.assertEqual(page.next_offset, 2)
        self.assertEqual(
            [(r.offset, r.key, r.value) for r in page.records],
            [(0, "a", b"1"), (1, "b", None)],
        )

    async def test_newest(self):
        """The newest record of each key is read, page by page."""
        records = [KeyedRecord(f"{n:04}", b"old") for n in range(700)]
        await self.store.append("jobs", 0, records)
        await self.store.append("jobs", 0, [KeyedRecord("0001", b"new")])
        page = await self.store.newest("jobs", 0, "")
        rest = await self.store.newest("jobs", 0, page.records[-1].key)
        self.assertTrue(page.more)
        self.assertFalse(rest.more)
        self.assertEqual(len(page.records) + len(rest.records), 700)
        self.assertEqual(page.records[1].value, b"new")

    async def test_fenced(self):
        """A lower epoch is shut out."""
        await self.store.append("jobs", 0, [], Producer("owner", 5, 0))
        with self.assertRaises(FencedError):
            await self.store.append(
                "jobs", 0, [KeyedRecord("a", b"1")], Producer("owner", 4, 0)
            )

    async def test_repeat(self):
        """A repeated append gets its first offset and stands once."""
        producer = Producer("p", 1, 0)
        record = [KeyedRecord("a", b"1")]
        first = await self.store.append("jobs", 0, record, producer)
        again = await self.store.append("jobs", 0, record, producer)
        self.assertEqual(first, again)
        page = await self.store.read("jobs", 0, 0, 0)
        self.assertEqual(page.end, 1)

    async def test_sequence(self):
        """A gap names the number that is expected."""
        record = [KeyedRecord("a", b"1")]
        await self.store.append("jobs", 0, record, Producer("p", 1, 0))
        with self.assertRaises(SequenceError) as caught:
            await self.store.append("jobs", 0, record, Producer("p", 1, 2))
        self.assertEqual(caught.exception.expected, 1)

    async def test_history_lost(self):
        """Reading what is no longer kept is told apart."""
        await self.store.append("jobs", 0, [KeyedRecord("a", b"1")])
        self.model.drop_history()
        with self.assertRaises(OffsetOutOfRangeError):
            await self.store.read("jobs", 0, 0, 0)

    async def test_refusals(self):
        """Each refusal keeps its kind; nothing was done."""
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
        """Without a connection nothing was done."""
        store = PlatformStore("127.0.0.1:1")
        with self.assertRaises(StoreRefusedError) as caught:
            await store.append("jobs", 0, [KeyedRecord("a", b"1")])
        self.assertIs(caught.exception.kind, RefusalKind.UNREACHABLE)
        await store.close()

    async def test_unreadable_record(self):
        """A record of a writer that knows no keys is counted and passed."""
        await self.store.append("jobs", 0, [KeyedRecord("a", b"1")] * 3)
        self.server.raw_records = (
            b"\0\0\0\x01\xff" + b"\0\0\0\0" + b"\0\0\0\x03\x01ab"
        )
        page = await self.store.read("jobs", 0, 0, 0)
        self.assertEqual(page.unreadable, 2)
        self.assertEqual([r.key for r in page.records], ["a"])
        self.assertEqual(page.next_offset, 3)

    async def test_group(self):
        """A member learns what it holds, others who holds it."""
        view = await self.store.join("cells", "m", "jobs", 1000, 0)
        self.assertIn(0, view.partitions)
        self.assertEqual((await self.store.holders("cells"))[0], "m")
        await self.store.leave("cells", "m")
        self.assertEqual((await self.store.holders("cells"))[0], "")


if __name__ == "__main__":
    unittest.main()
