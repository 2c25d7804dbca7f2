"""Parts of the explorer of schedules."""
