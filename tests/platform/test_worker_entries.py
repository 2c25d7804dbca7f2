"""Directory entries of workers, and malformed ones of other writers."""

import json
import unittest
from unittest import mock

import msgspec
from loguru import logger

from limpetyard.jobs import Resources
from limpetyard.platform import _worker_entries
from limpetyard.platform._worker_entries import (
    MAX_ID_BYTES,
    MAX_LABELS,
    MAX_NAME_LENGTH,
    MAX_REPORTED,
    EntryReports,
    parse_worker_entry,
)
from limpetyard.store import StoredRecord

VALID = {
    "service": "pool",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "born": 5,
    "remainingMs": 700,
    "capacity": {"cpu": 16_000, "memMb": 32_768, "gpus": 1},
    "labels": ["a", "r1-3"],
    "seq": 4,
}

# None of them can be stored in 64 bits.
LARGE_NUMBERS = (2**64, 2**127, -(2**63) - 1, 10**400)

# Deeper than the recursion limit of the decoder.
DEPTH = 100_000


def encode(**fields) -> bytes:
    """Returns a valid entry with some fields replaced."""
    return json.dumps(VALID | fields).encode()


def nested(field: str, opening: bytes, closing: bytes) -> bytes:
    """Returns an entry with a deeply nested value of a field."""
    value = opening * DEPTH + b"1" + closing * DEPTH
    return encode(**{field: None}).replace(b"null", value)


def malformed_entries() -> dict[str, bytes]:
    """Returns entries of other writers that name no worker, by a label."""
    entries = {
        "empty": b"",
        "binary": bytes(range(256)),
        "null": b"null",
        "list": b"[]",
        "truncated": encode()[:-1],
        "not UTF-8": encode().replace(b"pool", b"\xff\xfe"),
        "lone surrogate": encode().replace(b"pool", b"\\ud800"),
        "many labels": encode(labels=["x"] * (MAX_LABELS + 1)),
        "long label": encode(labels=["x" * (MAX_NAME_LENGTH + 1)]),
        "huge label": encode(labels=["a", "x" * 200_000]),
        "unknown state": encode(state="unknown"),
        "never leaves": encode(remainingMs=1e300),
    }
    # Some of these fields are not read, but an entry is skipped as a whole.
    for field in VALID:
        deep_objects = nested(field, b'{"a":', b"}")
        entries[f"{field} of deep lists"] = nested(field, b"[", b"]")
        entries[f"{field} of deep objects"] = deep_objects
    for field in ("service", "address", "zone", "state"):
        entries[f"{field} missing"] = json.dumps(
            {k: v for k, v in VALID.items() if k != field}
        ).encode()
        for value in (None, 7, [], {}, "x" * (MAX_NAME_LENGTH + 1)):
            label = f"{field}={str(value)[:10]}"
            entries[label] = encode(**{field: value})
    for number in (*LARGE_NUMBERS, -1, 1.5, "1", None, True):
        label = str(number)[:10]
        entries[f"born={label}"] = encode(born=number)
        for amount in ("cpu", "memMb", "gpus"):
            capacity = VALID["capacity"] | {amount: number}
            entries[f"{amount}={label}"] = encode(capacity=capacity)
    for number in LARGE_NUMBERS:
        entries[f"remainingMs={str(number)[:10]}"] = encode(remainingMs=number)
    for address in (
        "10.0.0.1",
        "10.0.0.1:",
        "10.0.0.1:0",
        "10.0.0.1:65536",
        "10.0.0.1:99999",
        "10.0.0.1:-1",
        "10.0.0.1:" + "9" * 200,
        "10.0.0.1:\uff19",
        "10.0.0.1:80/path",
        "user@10.0.0.1:80",
        "10.0.0.1:80\r\nX: y",
        "10.0.0.1:80\x00",
        "10.0.0.256:80",
        "host.example:80",
        "::1:80",
        "[::1%eth0]:80",
        "",
        # Connections fail at once, or lead to this machine.
        "0.0.0.0:80",
        "255.255.255.255:80",
        "224.0.0.1:80",
        "[::]:80",
        "[::ffff:0.0.0.0]:80",
        "[ff02::1]:80",
        "[fe80::1]:80",
    ):
        entries[f"address={address!r}"] = encode(address=address)
    return entries


class WorkerEntryTest(unittest.TestCase):
    """What an entry is decoded to."""

    def setUp(self):
        """Turns logging off."""
        logger.remove()

    def parse(self, value: bytes, worker_id: str = "i-1"):
        """Decodes an entry."""
        return parse_worker_entry(StoredRecord(0, worker_id, value))

    def test_entry(self):
        """Decodes an entry; the last label is the rack."""
        decoded = self.parse(encode(state="draining"))
        self.assertEqual(decoded.rack, "r1-3")
        self.assertTrue(decoded.draining)
        self.assertEqual(decoded.capacity, Resources(16_000, 32_768, 1))
        self.assertIsNotNone(self.parse(encode(address="[::1]:80")))

    def test_malformed_entries(self):
        """Malformed entries ended each owner or were polled for ever: LOST."""
        for label, value in malformed_entries().items():
            with self.subTest(label):
                self.assertIsNone(self.parse(value))

    def test_usable_addresses(self):
        """An address of a machine is refused."""
        for address in ("127.0.0.1:1", "[::1]:80", "[::ffff:10.0.0.1]:80"):
            self.assertIsNotNone(self.parse(encode(address=address)))

    def reported(self, *entries: tuple[str, bytes]) -> list[str]:
        """Reads entries; returns the id of each that is reported."""
        reports = EntryReports()
        with mock.patch.object(_worker_entries, "event") as event:
            for worker_id, value in entries:
                parse_worker_entry(StoredRecord(0, worker_id, value), reports)
        return [call.kwargs["worker"] for call in event.call_args_list]

    def test_reported_once(self):
        """An unusable entry was logged each time that it was written."""
        bad = ("a", encode(address="host.example:80", seq=1))
        again = ("a", encode(address="host.example:80", seq=2))
        unknown = ("a", encode(state="unknown"))
        other = ("b", bad[1])
        usable = ("a", encode())
        self.assertEqual(self.reported(bad, again, unknown, bad), ["a"])
        self.assertEqual(self.reported(bad, other, again), ["a", "b"])
        self.assertEqual(self.reported(bad, usable, again), ["a", "a"])

    def test_reports_are_bounded(self):
        """Another writer fills the memory with ids."""
        reports = EntryReports()
        for number in range(MAX_REPORTED + 1):
            self.assertTrue(reports.add(str(number)))
        self.assertFalse(reports.add("1"))
        self.assertTrue(reports.add("0"))

    def test_unknown_fields(self):
        """Fields of later versions are ignored, as far as they can be read."""
        shallow = nested("later", b"[", b"]").replace(b"[" * DEPTH, b"[[")
        shallow = shallow.replace(b"]" * DEPTH, b"]]")
        self.assertIsNotNone(self.parse(shallow))
        self.assertIsNotNone(self.parse(encode(later=2**127)))

    def test_malformed_ids(self):
        """An id that can be part of no key or header ended or misled owners."""
        for worker_id in (
            "",
            "a\nb",
            "a\x00b",
            "a" * (MAX_ID_BYTES + 1),
            "\u00e9" * (MAX_ID_BYTES // 2 + 1),
        ):
            with self.subTest(worker_id):
                self.assertIsNone(self.parse(encode(), worker_id))
        self.assertIsNotNone(self.parse(encode(), "\u00e9" * 9))

    def test_largest_entry(self):
        """A decoded entry can be stored, whatever its values are."""
        name = "\U0001f600" * MAX_NAME_LENGTH
        largest = encode(
            service=name,
            zone=name,
            labels=[name] * MAX_LABELS,
            born=2**53,
            remainingMs=2**53,
            capacity=dict.fromkeys(VALID["capacity"], (1 << 40) - 1),
        )
        stored = msgspec.msgpack.encode(self.parse(largest, "x" * MAX_ID_BYTES))
        self.assertLess(len(stored), 1 << 17)


if __name__ == "__main__":
    unittest.main()
