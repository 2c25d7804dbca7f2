"""Reads logs afterwards: the fate of one request, a day in plots."""

from limpetyard.logbook._job_history import Fate, find_fate
from limpetyard.logbook._lines import Line, parse_line, read_logs
from limpetyard.logbook._time_series import Day, Point, read_day

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
