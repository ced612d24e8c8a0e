"""Checks that names of the platform occur only in platform/ and its tests.

The names are read from the string literals in all sources of platform/, so that
new names are checked without a change to this script.
"""

import re
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
# Names that belong to HTTP, and ordinary words that other sources also use.
SHARED_NAMES = {
    "Host", "Model", "Stage", "prefill", "decode", "Retry-After", "Expect",
    "Content-Type", "Content-Length", "Content-Encoding", "Transfer-Encoding",
    "Connection", "Service", "Version", "Name", "Key", "Kind", "Zone", "State",
    "Error", "Message", "application/json", "ready", "items", "events", "Value",
    "Address", "Priority", "Weight", "Revision", "Deleted", "stream", "Last-Event-Id",
    "idempotent", "Phase", "Limits", "close", "Authorization", "tokens", "requests",
    # The own interface's traces name a workspace so, see docs/GLOSSARY.md.
    "Tenant",
}


def string_literals(text):
    return re.findall(r'"([A-Za-z][A-Za-z/_-]{4,})"', text)


def main():
    names = set()
    for path in sorted((ROOT / "platform").glob("*.[hc]*")):
        if path.suffix not in (".h", ".cpp"):
            continue
        for line in path.read_text().splitlines():
            if not line.startswith("#include"):
                names.update(string_literals(line))
    names -= SHARED_NAMES
    violations = 0
    for folder in ("packages", "bench", "fuzz"):
        for path in sorted((ROOT / folder).rglob("*")):
            if path.suffix not in (".h", ".cpp") or "generated" in path.parts:
                continue
            for number, line in enumerate(path.read_text().splitlines(), 1):
                code = line.split("//")[0]
                matches = [name for name in names if f'"{name}"' in code]
                matches += ["/heatherfork/"] if '"/heatherfork/' in code else []
                for name in matches:
                    violations += 1
                    relative_path = path.relative_to(ROOT)
                    print(f'{relative_path}:{number}: "{name}" is a name of the platform')
    print(f"{len(names)} names checked, {violations} found elsewhere")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
