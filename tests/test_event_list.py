"""Tests of the event catalogue."""

import ast
import unittest
from pathlib import Path

import limpetyard
from limpetyard._event_list import EVENTS

SOURCES = Path(limpetyard.__file__).parent
EVENTS_PAGE = SOURCES.parents[1] / "docs" / "EVENTS.md"

# Logged by `_events` itself, which passes the fields as a dict.
LOGGED_BY_EVENTS_MODULE = {"events_left_out"}


def logged_events() -> list[tuple[str, tuple[str, ...], str]]:
    """Returns the name, fields and location of each call of `event`."""
    calls = []
    for path in sorted(SOURCES.rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if not isinstance(node, ast.Call):
                continue
            if getattr(node.func, "id", "") != "event":
                continue
            fields = tuple(keyword.arg for keyword in node.keywords)
            location = f"{path.name}:{node.lineno}"
            calls.append((ast.literal_eval(node.args[0]), fields, location))
    return calls


class EventListTest(unittest.TestCase):
    """The code, the catalogue and docs/EVENTS.md agree."""

    def test_logged_events_are_listed(self):
        """Each call logs a listed event with its fields in order."""
        for name, fields, location in logged_events():
            with self.subTest(location):
                self.assertIn(name, EVENTS)
                self.assertEqual(fields, EVENTS[name].fields)

    def test_listed_events_are_logged(self):
        """Each listed event is logged somewhere."""
        names = {
            name for name, _, _ in logged_events()
        } | LOGGED_BY_EVENTS_MODULE
        self.assertEqual(set(EVENTS) - names, set())

    def test_page_lists_all_events(self):
        """docs/EVENTS.md has exactly one row for each event."""
        rows = EVENTS_PAGE.read_text(encoding="utf-8").splitlines()
        listed = [row for row in rows if row.startswith("| `")]
        expected = [
            f"| `{name}` | {', '.join(kind.fields) or '-'}"
            f" | {kind.description} |"
            for name, kind in EVENTS.items()
        ]
        self.assertEqual(listed, expected)


if __name__ == "__main__":
    unittest.main()
