"""The operators' tool against a daemon."""

import asyncio
import json
import os
import sys
from pathlib import Path

from standins.site import ADMIN_TOKEN, ROOT
from tests.sites import PARAMETERS, TEMPLATE, SiteTest


class ToolTest(SiteTest):
    """Commands, their output and exit statuses."""

    daemon_count = 1
    worker_count = 2
    target_count = 1

    async def run_tool(self, *words: str, token: str = ADMIN_TOKEN):
        """Runs the tool; returns its exit status, output and errors."""
        env = {
            **os.environ,
            "LIMPETYARD_ADMIN_URL": self.site.admin["entry-0"],
            "LIMPETYARD_ADMIN_TOKEN": token,
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "limpetyard.ctl",
            *words,
            cwd=ROOT,
            env=env,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, err = await process.communicate()
        return process.returncode, out.decode(), err.decode()

    def write(self, name: str, text: str) -> str:
        """Writes a file and returns its path."""
        path = Path(self.site.output) / name
        path.write_text(text)
        return str(path)

    async def test_operators_day(self):
        """Every command does what it says."""
        template = self.write("t.toml", TEMPLATE)
        parameters = self.write("p.toml", PARAMETERS)
        bad = self.write("bad.toml", "[partner.north]\nweight = 0\n")
        cases = [
            (0, "yes", ("validate", template, parameters)),
            (3, "partner", ("validate", template, bad)),
            (3, "partner", ("publish", template, bad)),
            (0, "", ("diff", template, parameters)),
            (0, "2", ("publish", template, parameters)),
            (4, "conflict", ("publish", template, parameters, "--expect", "1")),
            (0, "3", ("zone", "zone-1", "out")),
            (0, "4", ("zone", "zone-1", "in")),
            (6, "zone-9", ("zone", "zone-9", "out")),
            (2, "sideways", ("zone", "zone-1", "sideways")),
            (
                0,
                "season",
                (
                    "submit",
                    "season",
                    "--partner",
                    "north",
                    "--class",
                    "reconciliation",
                ),
            ),
            (0, "season", ("inspect", "season")),
            (6, "nothing", ("inspect", "nothing")),
            (0, "season", ("cancel", "season")),
            (0, "worker-1", ("workers",)),
            (0, "target-0", ("targets",)),
            (0, "id", ("tasks",)),
            (0, "north", ("shares",)),
            (0, "offset", ("decisions", "--count", "5")),
            (2, "", ("fly",)),
        ]
        for status, text, words in cases:
            with self.subTest(words=words):
                code, out, err = await self.run_tool(*words)
                self.assertEqual(code, status, out + err)
                self.assertIn(text, out + err)

    async def test_json_and_bad_token(self):
        """Scripts get JSON, and a wrong token is told."""
        code, out, _ = await self.run_tool("--json", "status")
        self.assertEqual(code, 0)
        self.assertEqual(json.loads(out)["node"], "entry-0")
        code, _, err = await self.run_tool("status", token="wrong")
        self.assertEqual(code, 7)
        self.assertIn("unauthorized", err)
