"""Scheduler that colocates latency-critical services and batch jobs."""

__version__ = "0.1.0"
