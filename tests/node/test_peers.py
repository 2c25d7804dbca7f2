"""Tests of the calls between nodes."""

import unittest

import msgspec
from aiohttp.test_utils import make_mocked_request

from limpetyard.node import JobStatus, PeerServer


class _Cells:
    """Cells with one job."""

    async def job_status(self, job_id: str) -> JobStatus:
        return JobStatus("running", "queue")


class JobStatusTest(unittest.IsolatedAsyncioTestCase):
    """Queries for a job among nodes of two releases."""

    async def test_reply_to_former_release(self):
        """A node of the former release reads the state."""

        class FormerReply(msgspec.Struct):
            state: str

        req = make_mocked_request("GET", "/v1/jobs/5c0e7a21d94b36f8")
        reply = await PeerServer(_Cells()).handle(req)
        former = msgspec.json.decode(reply.body, type=FormerReply)
        self.assertEqual(former.state, "running")
        status = msgspec.json.decode(reply.body, type=JobStatus)
        self.assertEqual(status.queue, "queue")

    def test_reply_of_former_release(self):
        """An owner of the former release does not tell the queue."""
        status = msgspec.json.decode(b'{"state":"queued"}', type=JobStatus)
        self.assertEqual(status, JobStatus("queued", ""))


if __name__ == "__main__":
    unittest.main()
