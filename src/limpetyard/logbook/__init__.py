"""Offline analysis of logs: history of a job, plots of time series."""

from limpetyard.logbook._day import Point, ReportSeries, read_series
from limpetyard.logbook._fate import JobHistory, find_job_history
from limpetyard.logbook._lines import LogLine, parse_line, read_logs

__all__ = [
    "ReportSeries",
    "JobHistory",
    "LogLine",
    "Point",
    "find_job_history",
    "parse_line",
    "read_series",
    "read_logs",
]
