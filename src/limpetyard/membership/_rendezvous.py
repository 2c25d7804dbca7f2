"""Rendezvous hashing: who of the members stands first for a thing."""

from collections.abc import Iterable

import xxhash


def rendezvous_order(thing: str, members: Iterable[str]) -> list[str]:
    """Returns the members in their order for `thing`, the first choice first.

    The loss of a member moves nothing but what it stood first for.
    """
    return sorted(members, key=lambda member: _score(thing, member))


def rendezvous_rank(thing: str, member: str, members: Iterable[str]) -> int:
    """Returns the place of `member`, from 0, in the order for `thing`."""
    return rendezvous_order(thing, {member, *members}).index(member)


def _score(thing: str, member: str) -> int:
    return xxhash.xxh64_intdigest(f"{thing}|{member}".encode())
