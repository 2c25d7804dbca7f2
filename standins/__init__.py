"""Stand-ins for the platform, for tests, the demo and the bench.

They are not part of the product. Each keeps its own record of what happened,
from which checkers count; nothing is counted from what a daemon believes.
"""
