"""Output as tables, JSON or plain text."""

import sys
from collections.abc import Sequence

import msgspec
from rich.console import Console
from rich.table import Table

# Table width in columns if the output is not a terminal.
PIPE_WIDTH = 200


def show_json(value: object) -> None:
    """Prints a value as one line of JSON."""
    sys.stdout.write(msgspec.json.encode(value).decode() + "\n")


def show_table(columns: Sequence[str], rows: Sequence[Sequence]) -> None:
    """Prints a table with column titles."""
    table = Table(box=None, header_style="bold", pad_edge=False)
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*(_format_cell(value) for value in row))
    width = None if sys.stdout.isatty() else PIPE_WIDTH
    Console(width=width, highlight=False).print(table)


def show_text(text: str) -> None:
    """Prints a text without adding a line break."""
    sys.stdout.write(text)


def _format_cell(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.3f}"
    if isinstance(value, list):
        return ", ".join(map(str, value)) or "-"
    return str(value) if value != "" else "-"
