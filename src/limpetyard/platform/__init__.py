"""Adapter to the users' platform.

Only this package knows the names of the platform's fields, calls and topics. A
worker is called a minion there.
"""
