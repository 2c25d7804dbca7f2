"""The fate of one job."""

import unittest

from limpetyard.logbook import Line, find_fate

JOB = "5f8425b77689ff45"


def line(second: float, event: str, **fields: object) -> Line:
    """Returns a line of a log."""
    texts = {key: str(value) for key, value in fields.items()}
    return Line(1000.0 * second, "n-1", event, texts)


def accepted() -> Line:
    """Returns the line of an accepted job."""
    return line(1, "job_accepted", job=JOB, took_ms=8.4)


class FateTest(unittest.TestCase):
    """What is found, and what it follows from."""

    def causes(self, *lines: Line) -> list[str]:
        """Returns the causes."""
        return find_fate(lines, JOB).causes()

    def test_unknown(self):
        """A job that no line names has no fate."""
        self.assertEqual(find_fate([line(1, "store_lost")], JOB).own, [])

    def test_other_jobs(self):
        """Lines of other jobs are left out."""
        other = line(2, "job_ended", job="f" * 16, state="failed")
        self.assertEqual(find_fate([accepted(), other], JOB).lines[1:], [])

    def test_refused(self):
        """A refusal is told with its kind."""
        refused = line(
            1, "request_refused", path=f"/q/{JOB}", method="POST", kind="full"
        )
        self.assertIn("never accepted", self.causes(refused))
        self.assertIn("refused 1 times: POST full", self.causes(refused))

    def test_time_lost_in_a_takeover(self):
        """A gap names what stood in it."""
        causes = self.causes(
            accepted(),
            line(2, "cell_taken_over", cell=0, epoch=7),
            line(9, "cell_taken_over", cell=0, epoch=8),
            line(9.1, "run_found", task=f"{JOB}.0.0.0", worker="w"),
        )
        self.assertIn("owner changed to n-1 (epoch 8)", causes)
        self.assertIn(
            "8.1 s between job_accepted and run_found: cell_taken_over", causes
        )

    def test_held(self):
        """Tasks that were slowed or held are told, and fill no gap."""
        paced = line(3, "task_paced", task=f"{JOB}.0.0.0", percent=0)
        end = line(5, "job_ended", job=JOB, state="completed", age_ms=4000)
        causes = self.causes(accepted(), paced, end)
        self.assertIn("speed of its tasks set 1 times, 1 times to 0", causes)
        self.assertIn(
            "4.0 s between job_accepted and job_ended:"
            " nothing of its cell or workers",
            causes,
        )

    def test_failed_by_a_worker(self):
        """Failed runs are told with their worker."""
        end = line(
            2, "run_ended", task=f"{JOB}.0.0.0", worker="w-3", how="failed"
        )
        over = line(2, "job_ended", job=JOB, state="failed", age_ms=1000)
        causes = self.causes(accepted(), end, end, over)
        self.assertIn("2 runs failed on worker w-3", causes)
        self.assertIn("failed after 1.0 s", causes)

    def test_worker_of_a_task(self):
        """What befalls its workers is shown, and nothing of others."""
        fate = find_fate(
            [
                accepted(),
                line(2, "run_found", task=f"{JOB}.0.0.0", worker="w-3"),
                line(3, "worker_lapsed", worker="w-3"),
                line(3, "worker_lapsed", worker="w-4"),
                line(4, "run_lost", task=f"{JOB}.0.0.0", worker="w-3"),
            ],
            JOB,
        )
        self.assertEqual([a.fields["worker"] for a in fate.around], ["w-3"])
        self.assertIn("1 runs lost with worker w-3", fate.causes())


if __name__ == "__main__":
    unittest.main()
