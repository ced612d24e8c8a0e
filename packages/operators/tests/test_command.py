"""Tests of the examples with heatherforkctl.

The environment variable HEATHERFORKCTL holds the path of the program. ctest
sets it.
"""

import json
import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def publish(example: str, directory: Path, *flags: str) -> str:
    """Runs an example as a program and returns its standard output."""
    program = ROOT / "examples" / f"{example}.py"
    command = [sys.executable, "-B", str(program), str(directory), *flags]
    return subprocess.run(
        command, capture_output=True, text=True, check=True
    ).stdout


def heatherforkctl(*arguments: str) -> subprocess.CompletedProcess:
    """Runs heatherforkctl and returns the completed process."""
    command = [os.environ["HEATHERFORKCTL"], *arguments]
    return subprocess.run(command, capture_output=True, text=True, check=False)


@unittest.skipUnless("HEATHERFORKCTL" in os.environ, "needs heatherforkctl")
class CommandTest(unittest.TestCase):
    """Configurations written by the examples, checked by heatherforkctl."""

    def setUp(self) -> None:
        temporary_directory = tempfile.TemporaryDirectory()
        self.addCleanup(temporary_directory.cleanup)
        self.directory = Path(temporary_directory.name)

    def test_accepts_configurations_of_both_examples(self) -> None:
        for example in ("torun", "java"):
            with self.subTest(example):
                directory = self.directory / example
                text = publish(example, directory)
                self.assertEqual(text, f"revision 1 in {directory}\n")
                result = heatherforkctl("check", str(directory))
                self.assertEqual(
                    (result.returncode, result.stdout, result.stderr),
                    (0, "accepted: revision 1\n", ""),
                )

    def test_refuses_part_with_wrong_digest(self) -> None:
        publish("torun", self.directory)
        head = json.loads((self.directory / "head.json").read_bytes())
        digest = head["parts"]["limits"]
        (self.directory / "parts" / digest).write_bytes(b"{}")
        result = heatherforkctl("check", str(self.directory))
        found = "44136fa355b3678a1146ad16f7e8649e94fb4fc21fe77e8310c060f61caaff8a"
        self.assertEqual(
            (result.returncode, result.stderr),
            (
                2,
                f"limits: expected bytes with the SHA-256 {digest}, found "
                f"{found} (605 digest-mismatch)\nrefused\n",
            ),
        )

    def test_diff_reports_changed_revision(self) -> None:
        old, new = self.directory / "old", self.directory / "new"
        publish("torun", old)
        publish("torun", new, "--revision", "9")
        result = heatherforkctl("diff", str(old), str(new))
        self.assertEqual(
            (result.returncode, result.stdout),
            (0, "  revision: changes from 1 to 9\n"),
        )
        result = heatherforkctl("diff", str(new), str(new))
        self.assertEqual((result.returncode, result.stdout), (0, "no change\n"))

    def test_prints_help_and_version(self) -> None:
        for flag, start in (("--help", "usage: "), ("--version", "heatherforkctl ")):
            with self.subTest(flag):
                result = heatherforkctl(flag)
                self.assertEqual(result.returncode, 0)
                self.assertTrue(result.stdout.startswith(start))


if __name__ == "__main__":
    unittest.main()
