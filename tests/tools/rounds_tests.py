"""Tests of platform/tools/rounds.py with a stand-in for the player."""

import math
import os
import stat
import subprocess
import sys
import tempfile
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
TOOLS = os.path.join(ROOT, "platform", "tools")
sys.path.insert(0, TOOLS)

import rounds  # noqa: E402

# Reports a worth of seed / 10, plus 0.05 in a folder named "after", where seed
# 2 also breaks a rule.
PLAYER = """#!/usr/bin/python3
import json, os, sys
if sys.argv[1] == "run":
    seed = int(sys.argv[sys.argv.index("--seed") + 1])
    after = os.path.basename(os.getcwd()) == "after"
    worth = seed / 10 + (0.05 if after else 0)
    json.dump({"G": worth, "served": worth, "fault": None,
               "breaks": {"LIMIT": 1} if after and seed == 2 else {},
               "classes": [{"name": "quick", "worth": worth},
                           {"name": "never", "worth": None}]},
              open(sys.argv[sys.argv.index("--report") + 1], "w"))
"""


class RoundsTest(unittest.TestCase):
    def setUp(self):
        self.directory = tempfile.TemporaryDirectory()
        self.player = os.path.join(self.directory.name, "player")
        with open(self.player, "w", encoding="utf-8") as out:
            out.write(PLAYER)
        os.chmod(self.player, stat.S_IRWXU)
        for name in ("before", "after"):
            os.mkdir(os.path.join(self.directory.name, name))

    def tearDown(self):
        self.directory.cleanup()

    def run_tool(self, *more):
        return subprocess.run(
            [sys.executable, os.path.join(TOOLS, "rounds.py"),
             "--player", self.player, "--site", "a-site", "--days", "one,two",
             "--seeds", "3", "--why", "a test",
             "--before", os.path.join(self.directory.name, "before"), *more],
            capture_output=True, text=True, check=True).stdout

    def test_pairs_are_compared_by_day_and_class(self):
        shown = self.run_tool(
            "--after", os.path.join(self.directory.name, "after"))
        lines = shown.splitlines()
        self.assertEqual(lines[0], f"{'one':14}" + "".join(
            f"  {name} 0.200 +0.050 +-0.000"
            for name in ("worth", "served", "quick")))
        self.assertTrue(lines[2].startswith("all"))

    def test_broken_rules_are_named_with_their_seed(self):
        shown = self.run_tool(
            "--after", os.path.join(self.directory.name, "after"))
        broken = [line for line in shown.splitlines()
                  if line.startswith("BROKEN")]
        self.assertEqual(len(broken), 2)
        self.assertIn("one --seed 2: {'LIMIT': 1}", broken[0])

    def test_one_checkout_shows_its_means(self):
        self.assertIn("worth 0.200", self.run_tool())

    def test_an_interval_widens_with_the_spread(self):
        mean, half_width = rounds.interval([0.1, 0.3])
        self.assertAlmostEqual(mean, 0.2)
        self.assertAlmostEqual(half_width, 12.71 * 0.1)
        self.assertTrue(math.isinf(rounds.interval([0.1])[1]))


if __name__ == "__main__":
    unittest.main()
