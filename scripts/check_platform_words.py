"""Checks that the platform's names stand only in platform/ and its tests.

The names are read from platform/words.h and from the string literals of its
other sources, so that a new one is checked from its first day.
"""

import re
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
# Names that are HTTP's own, or ordinary words of other sources too.
COMMON = {
    "Host", "Model", "Stage", "prefill", "decode", "Retry-After", "Expect",
    "Content-Type", "Content-Length", "Content-Encoding", "Transfer-Encoding",
    "Connection", "Service", "Version", "Name", "Key", "Kind", "Zone", "State",
    "Error", "Message", "application/json", "ready", "items", "events", "Value",
    "Address", "Priority", "Weight", "Revision", "Deleted", "stream", "Last-Event-Id",
    "idempotent", "Phase", "Limits", "close",
}


def literals(text):
    return re.findall(r'"([A-Za-z][A-Za-z/_-]{4,})"', text)


def main():
    names = set()
    for path in sorted((ROOT / "platform").glob("*.[hc]*")):
        if path.suffix not in (".h", ".cpp"):
            continue
        for line in path.read_text().splitlines():
            if not line.startswith("#include"):
                names.update(literals(line))
    names -= COMMON
    found = 0
    for folder in ("packages", "bench", "fuzz"):
        for path in sorted((ROOT / folder).rglob("*")):
            if path.suffix not in (".h", ".cpp") or "generated" in path.parts:
                continue
            for number, line in enumerate(path.read_text().splitlines(), 1):
                code = line.split("//")[0]
                hits = [name for name in names if f'"{name}"' in code]
                hits += ["/heatherfork/"] if '"/heatherfork/' in code else []
                for name in hits:
                    found += 1
                    where = path.relative_to(ROOT)
                    print(f'{where}:{number}: "{name}" is a name of the platform')
    print(f"{len(names)} names checked, {found} found elsewhere")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
