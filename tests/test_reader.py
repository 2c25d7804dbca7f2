"""Tests of reading trimmed streams and of scheduling snapshots."""

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
from limpetyard.errors import OffsetTrimmedError, StreamUnrecoverableError
from limpetyard.log import SnapshotSchedule, StreamProjector, StreamReader
from standins.log_model import LogModel


class InMemoryLog:
    """An in-memory log whose only fault is trimming."""

    def __init__(self, clock: ManualClock):
        self.model = LogModel()
        self.before_read = lambda: None
        self._clock = clock

    async def read(self, stream, offset, limit, wait_ms):
        """Reads from the model; each call advances the clock by 1 ms."""
        del wait_ms
        if limit:
            self.before_read()
        self._clock.advance(1)
        return self.model.read(stream, offset, limit)

    def append(self, record) -> None:
        """Appends a record to the configuration stream."""
        text = msgspec.json.encode(record).decode()
        self.model.append(CONFIG_STREAM, text)


class StreamReaderTest(unittest.TestCase):
    """A reader of the configuration stream."""

    def setUp(self):
        """Creates a reader that has applied three changes."""
        self.clock = ManualClock()
        self.log = InMemoryLog(self.clock)
        for version in range(3):
            self.log.append(zone_change(version))
        self.reader = StreamReader(
            self.log,
            CONFIG_STREAM,
            lambda: StreamProjector(
                ConfigState(), ConfigRecord, ConfigSnapshot
            ),
            self.clock,
        )
        asyncio.run(self.reader.bootstrap())

    def follow(self) -> None:
        """Reads one page of new records."""
        asyncio.run(self.reader.follow(0))

    def snapshot(self, as_of: int) -> ConfigSnapshot:
        """Returns the correct snapshot after the record at `as_of`."""
        projector = StreamProjector(ConfigState(), ConfigRecord, ConfigSnapshot)
        projector.apply_page(
            msgspec.structs.replace(
                self.log.model.read(CONFIG_STREAM, 0, 0),
                records=self.log.model.archive[CONFIG_STREAM][: as_of + 1],
            )
        )
        return ConfigSnapshot(as_of, projector.projection.dump())

    def test_bootstraps_from_snapshot(self):
        """A new reader loads a snapshot and applies the records after it."""
        self.log.append(self.snapshot(2))
        self.log.append(zone_change(3))
        self.log.model.trim(CONFIG_STREAM, 2)
        asyncio.run(self.reader.bootstrap())
        self.assertEqual(self.reader.projector.projection.version, 4)

    def test_applies_records_between_as_of_and_snapshot(self):
        """Records after `as_of` but before the snapshot are applied."""
        old = self.snapshot(1)
        self.log.append(old)
        self.log.model.trim(CONFIG_STREAM, 2)
        asyncio.run(self.reader.bootstrap())
        self.assertEqual(self.reader.projector.projection.version, 3)

    def test_ignores_snapshot_with_a_gap(self):
        """A snapshot is unusable if a record after `as_of` was trimmed."""
        self.log.append(self.snapshot(0))
        self.log.model.trim(CONFIG_STREAM, 1)
        with self.assertRaises(StreamUnrecoverableError):
            asyncio.run(self.reader.bootstrap())

    def test_shows_no_older_version_while_it_reads_again(self):
        """The old state stays visible until the new one has caught up."""
        for version in range(3, 8):
            self.log.append(zone_change(version))
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
        """A read that yields no usable state sets no `confirmed_ms`."""
        self.log.append(zone_change(3))
        self.log.model.trim(CONFIG_STREAM, 0)
        self.log.append(zone_change(4))
        with self.assertRaises(StreamUnrecoverableError):
            self.follow()
        self.assertIsNone(self.reader.confirmed_ms)

    def test_survives_trimming_during_bootstrap(self):
        """Records may be trimmed between the bounds request and the read."""
        self.log.append(self.snapshot(2))

        def trim() -> None:
            self.log.before_read = lambda: None
            self.log.model.trim(CONFIG_STREAM, 1)

        self.log.before_read = trim
        asyncio.run(self.reader.bootstrap())
        self.assertEqual(self.reader.projector.projection.version, 3)

    def test_error_gives_first_retained_offset(self):
        """The error contains the offset of the oldest retained record."""
        self.log.model.trim(CONFIG_STREAM, 1)
        with self.assertRaises(OffsetTrimmedError) as caught:
            self.log.model.read(CONFIG_STREAM, 0, 10)
        self.assertEqual(caught.exception.first_offset, 2)


class SnapshotScheduleTest(unittest.TestCase):
    """The schedule of snapshots."""

    def setUp(self):
        """Creates a schedule of 10 records or one minute."""
        self.schedule = SnapshotSchedule(10, 60_000)
        self.projector = StreamProjector(
            ConfigState(), ConfigRecord, ConfigSnapshot
        )

    def set_offsets(self, next_offset: int, snapshot: int = -1) -> None:
        """Sets the read offset and the offset of the latest snapshot."""
        self.projector.next_offset = next_offset
        self.projector.snapshot_offset = snapshot
        self.projector.snapshot_as_of = snapshot - 1 if snapshot >= 0 else -1

    def test_empty_stream_needs_no_snapshot(self):
        """An empty stream has no state to save."""
        self.assertFalse(self.schedule.start_if_due(self.projector, 1e9, 0))

    def test_due_after_records_once(self):
        """A snapshot is due after 10 records, and only once."""
        self.set_offsets(10)
        self.assertTrue(self.schedule.start_if_due(self.projector, 0.0, 0))
        self.assertFalse(self.schedule.start_if_due(self.projector, 1.0, 0))

    def test_due_after_time_without_records(self):
        """A snapshot is due after a minute without new records."""
        self.set_offsets(3, snapshot=2)
        self.assertFalse(self.schedule.start_if_due(self.projector, 0.0, 0))
        self.assertFalse(
            self.schedule.start_if_due(self.projector, 59_999.0, 0)
        )
        self.assertTrue(self.schedule.start_if_due(self.projector, 60_000.0, 0))

    def test_higher_rank_waits_longer(self):
        """Rank 1 waits twice the interval, from the latest snapshot on."""
        self.set_offsets(3, snapshot=2)
        self.schedule.start_if_due(self.projector, 0.0, 1)
        self.assertFalse(
            self.schedule.start_if_due(self.projector, 60_000.0, 1)
        )
        self.set_offsets(4, snapshot=3)
        self.assertFalse(
            self.schedule.start_if_due(self.projector, 70_000.0, 1)
        )
        self.assertFalse(
            self.schedule.start_if_due(self.projector, 120_000.0, 1)
        )
        self.assertTrue(
            self.schedule.start_if_due(self.projector, 190_000.0, 1)
        )


def zone_change(expected: int) -> SetZone:
    """Returns a change that expects the given version."""
    return SetZone(f"id-{expected}", expected, "test", "zone-0", True)
