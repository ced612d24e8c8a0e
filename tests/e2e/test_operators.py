"""heatherforkctl against a running cluster."""

import subprocess
import unittest

from cluster import ADMIN_KEY, Cluster
from processes import BUILD


class Operators(unittest.TestCase):
    """Commands that operators run against a node."""

    @classmethod
    def setUpClass(cls):
        cls.cluster = Cluster(nodes=1, prefill=1, decode=1, services=1)
        cls.addClassCleanup(cls.cluster.close)
        cls.node = cls.cluster.nodes["node-0"]
        cls.key_file = cls.cluster.directory / "admin-key"
        cls.key_file.write_text(ADMIN_KEY + "\n")

    def run_command(self, *words):
        program = BUILD / "packages" / "ctl" / "heatherforkctl"
        return subprocess.run([program, *words], capture_output=True, text=True, check=False)

    def test_status_shows_the_node_and_its_revision(self):
        flag = f"--admin_key_file={self.key_file}"
        result = self.run_command(flag, "status", self.node.address)
        self.assertEqual((result.returncode, result.stderr), (0, ""))
        fields = result.stdout.split("\n\n")[0].splitlines()
        rows = dict(line.split(maxsplit=1) for line in fields)
        self.assertEqual((rows["node"], rows["revision"]), ("node-0", "1"))
        self.assertIn("\nmembers:\n", result.stdout)

    def test_status_without_the_key_is_refused(self):
        result = self.run_command("status", self.node.address)
        self.assertEqual(
            (result.returncode, result.stderr),
            (
                3,
                f"{self.node.address}/admin/status: expected status 200, found 401: "
                "expected the admin key as bearer\n",
            ),
        )

    def test_the_nodes_settings_file_is_accepted(self):
        file = self.cluster.directory / "node-0.toml"
        result = self.run_command("settings", file)
        self.assertEqual((result.returncode, result.stdout), (0, f"accepted: {file}\n"))


if __name__ == "__main__":
    unittest.main()
