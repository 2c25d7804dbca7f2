"""Reads logs afterwards: the fate of one request, a day in plots."""

from limpetyard.logbook._day import Day, Point, read_day
from limpetyard.logbook._fate import Fate, find_fate
from limpetyard.logbook._lines import Line, parse_line, read_logs

__all__ = [
    "Day",
    "Fate",
    "Line",
    "Point",
    "find_fate",
    "parse_line",
    "read_day",
    "read_logs",
]
