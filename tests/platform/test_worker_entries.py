"""Directory entries of workers, and odd ones of other writers."""

import json
import unittest

import msgspec
from loguru import logger

from limpetyard.jobs import Resources
from limpetyard.platform._worker_entries import (
    MAX_LABELS,
    MAX_NAME_LENGTH,
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

# Neither can be stored in 64 bits.
LARGE_NUMBERS = (2**64, 2**127, -(2**63) - 1, 10**400)


def encode(**fields) -> bytes:
    """Returns a valid entry with some fields replaced."""
    return json.dumps(VALID | fields).encode()


def odd_entries() -> dict[str, bytes]:
    """Returns entries of other writers that name no worker, by a label."""
    odd = {
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
        "unknown state": encode(state="odd"),
        "never leaves": encode(remainingMs=1e300),
    }
    for field in ("service", "address", "zone", "state"):
        odd[f"{field} missing"] = json.dumps(
            {k: v for k, v in VALID.items() if k != field}
        ).encode()
        for value in (None, 7, [], {}, "x" * (MAX_NAME_LENGTH + 1)):
            label = f"{field}={str(value)[:10]}"
            odd[label] = encode(**{field: value})
    for number in (*LARGE_NUMBERS, -1, 1.5, "1", None, True):
        label = str(number)[:10]
        odd[f"born={label}"] = encode(born=number)
        for amount in ("cpu", "memMb", "gpus"):
            capacity = VALID["capacity"] | {amount: number}
            odd[f"{amount}={label}"] = encode(capacity=capacity)
    for number in LARGE_NUMBERS:
        odd[f"remainingMs={str(number)[:10]}"] = encode(remainingMs=number)
    return odd


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

    def test_odd_entries(self):
        """Odd entries ended each owner or were polled for ever: LOST."""
        for label, value in odd_entries().items():
            with self.subTest(label):
                self.assertIsNone(self.parse(value))

    def test_unknown_fields(self):
        """Fields of later versions are ignored, whatever they hold."""
        self.assertIsNotNone(self.parse(encode(later=2**127)))

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
        stored = msgspec.msgpack.encode(self.parse(largest, "x" * 200))
        self.assertLess(len(stored), 1 << 17)


if __name__ == "__main__":
    unittest.main()
