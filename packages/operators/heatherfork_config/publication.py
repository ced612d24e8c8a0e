"""Writes the published form of a configuration to a directory.

The directory contains ``head.json`` and ``parts/DIGEST``, in the layout that
the configuration service of the platform serves.
"""

import argparse
import json
import os
import sys
from pathlib import Path
from typing import Optional

from .configuration import Configuration, Documents


def next_revision(directory: Path, documents: Documents) -> int:
    """Returns the revision under which to write these documents.

    It is the revision in the directory if no part has changed, the following
    one if a part has changed, and 1 if the directory has no head.
    """
    path = directory / "head.json"
    if not path.exists():
        return 1
    head = json.loads(path.read_bytes())
    is_unchanged = head["parts"] == documents.digests()
    return head["revision"] if is_unchanged else head["revision"] + 1


def _replace(path: Path, data: bytes) -> None:
    """Replaces a file atomically, so that readers never see a partial file."""
    partial = path.with_name(path.name + ".partial")
    partial.write_bytes(data)
    os.replace(partial, path)


def write(
    configuration: Configuration, directory: Path, revision: Optional[int] = None
) -> int:
    """Writes the parts, then the head. Returns the revision.

    Parts of earlier revisions are kept because nodes may still request them.
    """
    documents = configuration.documents()
    if revision is None:
        revision = next_revision(directory, documents)
    head = documents.head(revision)
    parts = directory / "parts"
    parts.mkdir(parents=True, exist_ok=True)
    for key, digest in documents.digests().items():
        _replace(parts / digest, documents.parts[key])
    _replace(directory / "head.json", head)
    return revision


def main(configuration: Configuration) -> int:
    """Runs the command line of a configuration program: ``PROGRAM OUT_DIR``.

    Without a directory, prints all documents as one JSON object.
    """
    parser = argparse.ArgumentParser(description="Writes a configuration.")
    parser.add_argument("directory", type=Path, nargs="?")
    parser.add_argument("--revision", type=int, help="default: the next one")
    arguments = parser.parse_args()
    if arguments.directory is None:
        parts = configuration.documents().parts
        decoded_parts = {key: json.loads(data) for key, data in parts.items()}
        json.dump(decoded_parts, sys.stdout, indent=2)
        print()
        return 0
    revision = write(configuration, arguments.directory, arguments.revision)
    print(f"revision {revision} in {arguments.directory}")
    return 0
