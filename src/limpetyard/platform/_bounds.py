"""Bounds on numbers that are read, so that they can be stored again.

JSON has numbers of any size; the stored form of jobs and workers has integers
of 64 bits.
"""

from typing import Annotated

import msgspec

# Largest number that every JSON reader decodes exactly.
MAX_NUMBER = 1 << 53

# Number of a run, of an end of a run or of anything else that is counted from
# 0 or 1, or a time in Unix milliseconds.
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]

# Duration or reading of a clock, in milliseconds.
Time = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
