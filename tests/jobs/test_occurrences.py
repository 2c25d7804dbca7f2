"""Tests of sets of occurrences."""

import random
import unittest

from limpetyard.jobs._occurrences import OccurrenceSet


class OccurrenceSetTest(unittest.TestCase):
    """Ranges of numbers."""

    def test_random_order(self):
        """Numbers added in any order make the same ranges as a set."""
        rng = random.Random(1)
        for count in (1, 2, 10, 200):
            numbers = rng.sample(range(300), count)
            occurrences = OccurrenceSet()
            for number in [*numbers, *numbers[:3]]:
                occurrences.add(number)
            self.assertEqual(occurrences.numbers(), sorted(numbers))
            self.assertEqual(len(occurrences), count)
            for number in range(-1, 301):
                self.assertEqual(number in occurrences, number in numbers)
            gaps = sum(number - 1 not in numbers for number in numbers)
            self.assertEqual(len(occurrences.ranges()), gaps)
            restored = OccurrenceSet(occurrences.ranges())
            self.assertEqual(restored.numbers(), sorted(numbers))


if __name__ == "__main__":
    unittest.main()
