"""Reading streams whose beginning is trimmed away."""

import asyncio
import unittest

import msgspec

from limpetyard._clock import ManualClock
from limpetyard.config import (
    CONFIG_STREAM,
    ConfigRecord,
    ConfigSnapshot,
    ConfigState,
    SetZone,
)
from limpetyard.errors import OffsetTrimmedError, StreamBrokenError
from limpetyard.log import SnapshotSchedule, StreamProjector, StreamReader
from standins.log_model import LogModel


class ModelLog:
    """A log without faults but the retention of its model."""

    def __init__(self, clock: ManualClock):
        self.model = LogModel()
        self.before_read = lambda: None
        self._clock = clock

    async def read(self, stream, offset, limit, wait_ms):
        """Reads from the model; the clock moves with every call."""
        del wait_ms
        if limit:
            self.before_read()
        self._clock.advance(1)
        return self.model.read(stream, offset, limit)

    def append(self, record) -> None:
        """Appends to the configuration stream."""
        text = msgspec.json.encode(record).decode()
        self.model.append(CONFIG_STREAM, text)


class StreamReaderTest(unittest.TestCase):
    """A reader of the configuration stream."""

    def setUp(self):
        """Makes a reader that knows three acts."""
        self.clock = ManualClock()
        self.log = ModelLog(self.clock)
        for version in range(3):
            self.log.append(zone(version))
        self.reader = StreamReader(
            self.log,
            CONFIG_STREAM,
            lambda: StreamProjector(
                ConfigState(), ConfigRecord, ConfigSnapshot
            ),
            self.clock,
        )
        asyncio.run(self.reader.begin())

    def follow(self) -> None:
        """Follows once."""
        asyncio.run(self.reader.follow(0))

    def snapshot(self, as_of: int) -> ConfigSnapshot:
        """Returns the true snapshot after the record `as_of`."""
        projector = StreamProjector(ConfigState(), ConfigRecord, ConfigSnapshot)
        projector.feed(
            msgspec.structs.replace(
                self.log.model.read(CONFIG_STREAM, 0, 0),
                records=self.log.model.archive[CONFIG_STREAM][: as_of + 1],
            )
        )
        return ConfigSnapshot(as_of, projector.projection.dump())

    def test_begins_from_snapshot(self):
        """A newcomer takes a snapshot and the records after it."""
        self.log.append(self.snapshot(2))
        self.log.append(zone(3))
        self.log.model.trim(CONFIG_STREAM, 2)
        asyncio.run(self.reader.begin())
        self.assertEqual(self.reader.projector.projection.version, 4)

    def test_applies_records_between_as_of_and_snapshot(self):
        """Records that the snapshot does not hold yet are folded on it."""
        old = self.snapshot(1)
        self.log.append(old)
        self.log.model.trim(CONFIG_STREAM, 2)
        asyncio.run(self.reader.begin())
        self.assertEqual(self.reader.projector.projection.version, 3)

    def test_passes_over_snapshot_with_a_gap(self):
        """A snapshot is no use if records after it are trimmed away."""
        self.log.append(self.snapshot(0))
        self.log.model.trim(CONFIG_STREAM, 1)
        with self.assertRaises(StreamBrokenError):
            asyncio.run(self.reader.begin())

    def test_shows_no_older_version_while_it_reads_again(self):
        """The old state stands until the new one is complete."""
        for version in range(3, 8):
            self.log.append(zone(version))
        self.log.append(self.snapshot(7))
        self.log.model.trim(CONFIG_STREAM, 1)
        seen = []
        self.log.before_read = lambda: seen.append(
            self.reader.projector.projection.version
        )
        self.follow()
        self.assertEqual(set(seen), {3})
        self.assertEqual(self.reader.projector.projection.version, 8)

    def test_confirms_nothing_without_a_state(self):
        """A read that led to no usable state confirms nothing."""
        self.log.append(zone(3))
        self.log.model.trim(CONFIG_STREAM, 0)
        self.log.append(zone(4))
        with self.assertRaises(StreamBrokenError):
            self.follow()
        self.assertIsNone(self.reader.confirmed_ms)

    def test_survives_trimming_while_it_begins(self):
        """Records may go between the call for the bounds and the read."""
        self.log.append(self.snapshot(2))

        def trim() -> None:
            self.log.before_read = lambda: None
            self.log.model.trim(CONFIG_STREAM, 1)

        self.log.before_read = trim
        asyncio.run(self.reader.begin())
        self.assertEqual(self.reader.projector.projection.version, 3)

    def test_names_the_trimmed_offset(self):
        """The error tells where the stream begins now."""
        self.log.model.trim(CONFIG_STREAM, 1)
        with self.assertRaises(OffsetTrimmedError) as caught:
            self.log.model.read(CONFIG_STREAM, 0, 10)
        self.assertEqual(caught.exception.first, 2)


class SnapshotPlanTest(unittest.TestCase):
    """When snapshots are written."""

    def setUp(self):
        """Makes a plan of 10 records or a minute."""
        self.plan = SnapshotSchedule(10, 60_000)
        self.projector = StreamProjector(
            ConfigState(), ConfigRecord, ConfigSnapshot
        )

    def at(self, next_offset: int, snapshot: int = -1) -> None:
        """Moves the folder on; a snapshot may stand at an offset."""
        self.projector.next_offset = next_offset
        self.projector.snapshot_offset = snapshot
        self.projector.snapshot_as_of = snapshot - 1 if snapshot >= 0 else -1

    def test_empty_stream_needs_none(self):
        """There is nothing to keep."""
        self.assertFalse(self.plan.due(self.projector, 1e9, 0))

    def test_due_after_records_once(self):
        """It is due after enough records, and not again at once."""
        self.at(10)
        self.assertTrue(self.plan.due(self.projector, 0.0, 0))
        self.assertFalse(self.plan.due(self.projector, 1.0, 0))

    def test_due_after_time_without_records(self):
        """A snapshot that grows old is written anew."""
        self.at(3, snapshot=2)
        self.assertFalse(self.plan.due(self.projector, 0.0, 0))
        self.assertFalse(self.plan.due(self.projector, 59_999.0, 0))
        self.assertTrue(self.plan.due(self.projector, 60_000.0, 0))

    def test_higher_rank_leaves_it_to_the_first(self):
        """The second writer waits, and not in vain if the first writes."""
        self.at(3, snapshot=2)
        self.plan.due(self.projector, 0.0, 1)
        self.assertFalse(self.plan.due(self.projector, 60_000.0, 1))
        self.at(4, snapshot=3)
        self.assertFalse(self.plan.due(self.projector, 70_000.0, 1))
        self.assertFalse(self.plan.due(self.projector, 120_000.0, 1))
        self.assertTrue(self.plan.due(self.projector, 190_000.0, 1))


def zone(expected: int) -> SetZone:
    """Returns the act that follows a version."""
    return SetZone(f"id-{expected}", expected, "test", "zone-0", True)
