"""A record without a value in the stand-in of the store."""

import asyncio
import unittest

from limpetyard.store import KeyedRecord
from standins.platform._store import StoreModel
from standins.platform._virtual_time import VirtualClock


class EmptyValueTest(unittest.TestCase):
    """No bytes after a key mean that there is no value."""

    def test_key_is_dropped(self):
        """An empty value is read as none, and is no newest record."""

        async def main() -> None:
            store = StoreModel(VirtualClock())
            records = [KeyedRecord("a", b"1"), KeyedRecord("a", b"")]
            await store.append("jobs", 0, records, None)
            page = await store.read_latest("jobs", 0, "")
            self.assertEqual(page.records, [])
            page = await store.read("jobs", 0, 0, 0)
            values = [record.value for record in page.records]
            self.assertEqual(values, [b"1", None])

        asyncio.run(main())


if __name__ == "__main__":
    unittest.main()
