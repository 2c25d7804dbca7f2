"""Adapter to the users' platform.

Only this package knows the names of the platform's fields, calls and topics.
The platform calls a worker a minion.
"""
