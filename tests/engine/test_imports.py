"""Tests of the imports among the modules of the engine."""

import ast
import unittest
from pathlib import Path

from limpetyard import engine

PACKAGE = engine.__name__
DIRECTORY = Path(engine.__file__).parent

# Modules that import each other by way of `_engine`, some for annotations only.
# It assembles them and also holds the state that they work on.
ENGINE_CIRCLE = {
    *("_census", "_crashes", "_eligibility", "_engine"),
    *("_planner", "_run_ends", "_waiting"),
}

Graph = dict[str, set[str]]


def imported_modules(source: str) -> set[str]:
    """Returns the modules of the engine that a module of it imports.

    These include imports for annotations only and those within functions. The
    package itself is "__init__".
    """
    names: list[str] = []
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            names += [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom):
            package = PACKAGE if node.level else ""
            base = ".".join(filter(None, (package, node.module)))
            names.append(base)
            names += [f"{base}.{alias.name}" for alias in node.names]
    modules = {path.stem for path in DIRECTORY.glob("*.py")}
    found = {"__init__" for name in names if name == PACKAGE}
    for name in names:
        if name.startswith(f"{PACKAGE}."):
            found.add(name.removeprefix(f"{PACKAGE}.").split(".")[0])
    return found & modules


def reachable(graph: Graph, start: str) -> set[str]:
    """Returns the modules that a module imports, also through others."""
    found: set[str] = set()
    left = [start]
    while left:
        new = graph[left.pop()] - found
        found |= new
        left += new
    return found


def circles(graph: Graph) -> list[set[str]]:
    """Returns the sets of modules that import each other, in any order."""
    reached = {name: reachable(graph, name) for name in graph}
    found: list[set[str]] = []
    for name in graph:
        circle = {other for other in reached[name] if name in reached[other]}
        if circle and circle not in found:
            found.append(circle)
    return found


def engine_imports() -> Graph:
    """Returns the imports of each module of the engine."""
    return {
        path.stem: imported_modules(path.read_text())
        for path in DIRECTORY.glob("*.py")
    }


class ImportsTest(unittest.TestCase):
    """Imports among the modules of the engine."""

    def test_circles(self):
        """Modules other than those listed import each other."""
        self.assertEqual(circles(engine_imports()), [ENGINE_CIRCLE])

    def test_added_imports(self):
        """An import that closes or widens a circle goes unnoticed."""
        added = {
            ("_load", "_worker"): "two",
            ("_trials", "_ranking"): "below the engine",
            ("_pacing", "_engine"): "through the engine",
            ("_params", "__init__"): "through the package",
        }
        for (module, imported), kind in added.items():
            with self.subTest(kind):
                graph = engine_imports()
                graph[module] = graph[module] | {imported}
                self.assertNotEqual(circles(graph), [ENGINE_CIRCLE])

    def test_forms_of_imports(self):
        """A form of import goes unnoticed."""
        sources = (
            f"from {PACKAGE}._worker import Worker",
            f"from {PACKAGE} import _worker",
            f"import {PACKAGE}._worker",
            "from ._worker import Worker",
            "from . import _worker",
            f"if True:\n    from {PACKAGE}._worker import Worker",
            f"def f():\n    import {PACKAGE}._worker as w",
        )
        for source in sources:
            with self.subTest(source):
                self.assertIn("_worker", imported_modules(source))
        package = f"from {PACKAGE} import Worker"
        self.assertEqual(imported_modules(package), {"__init__"})


if __name__ == "__main__":
    unittest.main()
