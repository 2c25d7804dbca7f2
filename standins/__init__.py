"""Simulated platform services for tests, the demo and the benchmarks.

They are not part of the product. Each keeps its own record of what happened.
Checkers use these records only, never the state or the logs of a daemon.
"""
