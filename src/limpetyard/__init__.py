"""Scheduler that colocates latency-critical services and batch jobs.

Two daemons have separate implementations and share only the modules at the top:

- `limpetyard.noded` serves the users' platform, whose jobs consist of steps:
  `engine`, `jobs`, `node`, `platform` and `store`.
- `limpetyard.daemon` is the stand-alone daemon: `admin`, `cell`, `config`,
  `fleet`, `log`, `membership`, `placement`, `requests` and `scheduler`.
"""

__version__ = "0.1.0"
