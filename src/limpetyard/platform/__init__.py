"""Adapter to the users' platform: its wire forms, and nothing else.

Only this package knows the names of the platform's fields, calls and topics.
"""
