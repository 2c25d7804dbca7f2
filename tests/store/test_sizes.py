"""Tests of dividing records into appends."""

import unittest

from limpetyard.store import KeyedRecord, size_bytes, split_append


def record(name: str, size: int) -> KeyedRecord:
    """Returns a record of this size."""
    empty = KeyedRecord(name, None)
    return KeyedRecord(name, b"x" * (size - size_bytes(empty)))


class SplitAppendTest(unittest.TestCase):
    """Appends stay within the limit and keep the order."""

    def split(self, *groups: list[tuple[str, int]]) -> list[str]:
        """Returns the keys of each append of at most 100 bytes."""
        records = [[record(*item) for item in group] for group in groups]
        return [
            "".join(r.key for r in batch)
            for batch in split_append(records, 100)
        ]

    def test_limit(self):
        """An append is filled up to the limit and not beyond."""
        self.assertEqual(self.split([("a", 50)], [("b", 50)]), ["ab"])
        self.assertEqual(self.split([("a", 50)], [("b", 51)]), ["a", "b"])
        self.assertEqual(self.split(), [])

    def test_group_is_kept_together(self):
        """A group is divided only if it exceeds the limit by itself."""
        together = [("b", 30), ("c", 60)]
        self.assertEqual(self.split([("a", 20)], together), ["a", "bc"])
        large = [("b", 60), ("c", 50), ("d", 40)]
        self.assertEqual(self.split([("a", 40)], large), ["ab", "cd"])

    def test_record_beyond_the_limit(self):
        """Such a record is alone, so that its refusal harms no other."""
        groups = ([("a", 20)], [("b", 101)], [("c", 20)])
        self.assertEqual(self.split(*groups), ["a", "b", "c"])


if __name__ == "__main__":
    unittest.main()
