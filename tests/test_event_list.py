"""The closed list of events."""

import ast
import unittest
from pathlib import Path

import limpetyard
from limpetyard._event_list import EVENTS

SOURCES = Path(limpetyard.__file__).parent
EVENTS_PAGE = SOURCES.parents[1] / "docs" / "EVENTS.md"

# Logged by the log itself, with fields that are no keywords.
OF_THE_LOG = {"events_left_out"}


def logged() -> list[tuple[str, tuple[str, ...], str]]:
    """Returns each call that logs: event, fields, where."""
    calls = []
    for path in sorted(SOURCES.rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if not isinstance(node, ast.Call):
                continue
            if getattr(node.func, "id", "") != "event":
                continue
            fields = tuple(keyword.arg for keyword in node.keywords)
            where = f"{path.name}:{node.lineno}"
            calls.append((ast.literal_eval(node.args[0]), fields, where))
    return calls


class EventListTest(unittest.TestCase):
    """What the code logs, what the list has, what the page tells."""

    def test_logged_events_are_listed(self):
        """Each call names a listed event with its fields in order."""
        for name, fields, where in logged():
            with self.subTest(where):
                self.assertIn(name, EVENTS)
                self.assertEqual(fields, EVENTS[name].fields)

    def test_listed_events_are_logged(self):
        """No event stands in the list for nothing."""
        names = {name for name, _, _ in logged()} | OF_THE_LOG
        self.assertEqual(set(EVENTS) - names, set())

    def test_page_tells_all(self):
        """The page has a row for each event, and no others."""
        rows = EVENTS_PAGE.read_text(encoding="utf-8").splitlines()
        told = [row for row in rows if row.startswith("| `")]
        wanted = [
            f"| `{name}` | {', '.join(kind.fields) or '-'} | {kind.description} |"
            for name, kind in EVENTS.items()
        ]
        self.assertEqual(told, wanted)


if __name__ == "__main__":
    unittest.main()
