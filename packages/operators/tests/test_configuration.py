"""Tests of the published form of configurations."""

import hashlib
import json
import runpy
import sys
import tempfile
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

import heatherfork_config as config  # noqa: E402


def example(name: str) -> config.Configuration:
    """Returns the configuration of an example."""
    return runpy.run_path(str(ROOT / "examples" / f"{name}.py"))["CONFIGURATION"]


def with_tenants(*tenants: config.Tenant) -> config.Configuration:
    """Returns a configuration that contains only tenants."""
    return config.Configuration(classes=(), tenants=tenants)


def tenant(name: str, weight: int = 1) -> config.Tenant:
    """Returns a tenant with a unique key."""
    digest = config.key_digest(name)
    return config.Tenant(
        name=name, key_sha256=digest, max_in_flight=5, weight=weight
    )


class DocumentsTest(unittest.TestCase):
    """Content of the parts."""

    def test_examples_have_expected_numbers_of_servers(self) -> None:
        for name, engines, plain in (("torun", 10, 3), ("java", 20, 3)):
            with self.subTest(name):
                parts = example(name).documents().parts
                pools = [
                    json.loads(data)
                    for key, data in parts.items()
                    if key.startswith("pool/")
                ]
                count = {"model": 0, "service": 0}
                for pool in pools:
                    kind = "model" if "model" in pool else "service"
                    count[kind] += len(pool["servers"])
                self.assertEqual(count, {"model": engines, "service": plain})

    def test_changed_tenant_changes_only_its_part(self) -> None:
        before = with_tenants(tenant("a"), tenant("b")).documents().digests()
        after = with_tenants(tenant("a"), tenant("b", 2)).documents().digests()
        changed = [key for key in after if after[key] != before[key]]
        self.assertEqual(changed, ["tenant/b"])

    def test_tenant_part_holds_key_digest_and_limits(self) -> None:
        part = with_tenants(tenant("a")).documents().parts["tenant/a"]
        expected = {
            "key_sha256": hashlib.sha256(b"a").hexdigest(),
            "max_in_flight": 5,
            "weight": 1,
        }
        self.assertEqual(json.loads(part), expected)

    def test_refuses_duplicate_part_keys(self) -> None:
        with self.assertRaisesRegex(
            ValueError, "^tenant/a: expected one part of this key, found two$"
        ):
            with_tenants(tenant("a"), tenant("a")).documents()

    def test_refuses_part_above_size_limit(self) -> None:
        adapter = config.Adapter(name="x" * 1024 * 1024)
        work = config.WorkClass(name="w", deadline_ms=1, priority=0)
        model = config.Model(
            name="m", version="1", default_class=work, adapters=(adapter,)
        )
        with self.assertRaisesRegex(
            ValueError, "^models: expected at most 1048576 bytes, found"
        ):
            config.Configuration(classes=(work,), models=(model,)).documents()


class PublicationTest(unittest.TestCase):
    """Files in the directory."""

    def setUp(self) -> None:
        temporary_directory = tempfile.TemporaryDirectory()
        self.addCleanup(temporary_directory.cleanup)
        self.directory = Path(temporary_directory.name) / "out"

    def head(self) -> dict:
        return json.loads((self.directory / "head.json").read_bytes())

    def test_head_lists_digest_of_each_part(self) -> None:
        config.write(example("torun"), self.directory)
        head = self.head()
        self.assertEqual(head["revision"], 1)
        for digest in head["parts"].values():
            data = (self.directory / "parts" / digest).read_bytes()
            self.assertEqual(hashlib.sha256(data).hexdigest(), digest)

    def test_revision_rises_only_with_changes(self) -> None:
        first = with_tenants(tenant("a"))
        second = with_tenants(tenant("a", 2))
        revisions = [
            config.write(it, self.directory) for it in (first, first, second, first)
        ]
        self.assertEqual(revisions, [1, 1, 2, 3])

    def test_writes_explicit_revision(self) -> None:
        config.write(with_tenants(), self.directory, revision=41)
        self.assertEqual(self.head()["revision"], 41)


if __name__ == "__main__":
    unittest.main()
