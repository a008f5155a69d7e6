"""Tests of platform/tools/checks.py."""

import json
import os
import subprocess
import sys
import tempfile
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
TOOL = os.path.join(ROOT, "platform", "tools", "checks.py")

SITE = """
machines = [
  { class = "front", memory_mb = 512, fds = 8192 },
  { class = "front", memory_mb = 160, fds = 4100 },
  { class = "side", memory_mb = 128 },
]
"""

GOOD_DAY = {"name": "quiet-1", "rules": {}, "fault": None, "short": [],
            "restarts": 0.0}
GOOD_REPORT = {
    "breaks": {}, "fault": None, "short": [], "exits_n": 0,
    "nodes": [{"role": "entry", "class": "front", "mem_peak_mb": 79.9,
               "fds_peak": 1950},
              {"role": "guard", "class": "side", "mem_peak_mb": 2.9,
               "fds_peak": 5000}]}


class ChecksTest(unittest.TestCase):
    def setUp(self):
        self.directory = tempfile.TemporaryDirectory()
        self.site = self.write("site.toml", SITE)

    def tearDown(self):
        self.directory.cleanup()

    def write(self, name, text):
        path = os.path.join(self.directory.name, name)
        with open(path, "w", encoding="utf-8") as out:
            out.write(text)
        return path

    def check(self, document):
        path = self.write("file.json", json.dumps(document))
        done = subprocess.run(
            [sys.executable, TOOL, "--site", self.site, path],
            capture_output=True, text=True, check=False)
        return done.returncode, done.stdout

    def check_day(self, **changes):
        return self.check({"days": [{**GOOD_DAY, **changes}]})

    def check_entry_role(self, **changes):
        roles = json.loads(json.dumps(GOOD_REPORT["nodes"]))
        roles[0].update(changes)
        return self.check({**GOOD_REPORT, "nodes": roles})

    def test_good_days_have_no_findings(self):
        self.assertEqual(self.check_day(), (0, "1 files, 0 findings\n"))
        # Its usage is just below half of the smallest machine's memory and
        # descriptors, less the 200 that are reserved for files.
        self.assertEqual(self.check(GOOD_REPORT)[0], 0)

    def test_a_size_that_fell_short_is_found(self):
        code, text = self.check_day(short=["watch, largest tenth"])
        self.assertEqual(code, 1)
        self.assertIn("quiet-1: short: watch, largest tenth", text)

    def test_rules_faults_and_ends_are_found(self):
        self.assertIn("rule LOST broken 2 times",
                      self.check_day(rules={"LOST": 2})[1])
        self.assertIn("too long", self.check_day(fault="too long")[1])
        self.assertIn("3.0 processes ended by themselves",
                      self.check_day(restarts=3.0)[1])
        self.assertEqual(self.check({**GOOD_REPORT, "exits_n": 1})[0], 1)

    def test_memory_counts_against_the_smallest_machine(self):
        code, text = self.check_entry_role(mem_peak_mb=80.1)
        self.assertEqual(code, 1)
        self.assertIn("entry used 80.1 MB of 160", text)

    def test_descriptors_count_against_the_smallest_machine(self):
        code, text = self.check_entry_role(fds_peak=1951)
        self.assertEqual(code, 1)
        self.assertIn("entry used 1951 descriptors of 3900", text)


if __name__ == "__main__":
    unittest.main()
