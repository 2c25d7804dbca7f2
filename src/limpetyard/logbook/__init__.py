"""Offline analysis of logs: history of a job, plots of time series."""

from limpetyard.logbook._job_history import JobHistory, find_job_history
from limpetyard.logbook._lines import LogLine, parse_line, read_logs
from limpetyard.logbook._time_series import Point, ReportSeries, read_series

__all__ = [
    "JobHistory",
    "LogLine",
    "Point",
    "ReportSeries",
    "find_job_history",
    "parse_line",
    "read_logs",
    "read_series",
]
