#!/usr/bin/env python3
"""Checks each specification in spec/ and each of its mutants with Spin.

The state space of a specification must be searched completely without an
error. A mutant is the specification with one guard removed by a macro; Spin
must find an error in it. The macros are the names after #ifdef and defined()
in the file.
"""

import concurrent.futures
import os
import pathlib
import re
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
SEARCH_LIMIT_S = 60
MAX_DEPTH = 1_000_000
PARALLEL_JOBS = 4
COMPILER = os.environ.get("CC", "cc")


def run(directory, *command):
    """Runs a command and returns its standard output and standard error."""
    completed = subprocess.run(
        command,
        cwd=directory,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=SEARCH_LIMIT_S,
        check=False,
    )
    return completed.stdout


def search(spec, mutant=None):
    """Returns the numbers of stored states and of errors.

    Raises RuntimeError if the search is incomplete, or if a mutant fails by
    anything other than an assertion.
    """
    with tempfile.TemporaryDirectory() as directory:
        macros = [f"-D{mutant}"] if mutant else []
        generator_output = run(directory, "spin", *macros, "-a", str(spec))
        compiler_output = run(directory, COMPILER, "-w", "-O2", "-DSAFETY", "-DCOLLAPSE",
                              "-o", "pan", "pan.c")
        if not (pathlib.Path(directory) / "pan").exists():
            raise RuntimeError(generator_output + compiler_output)
        output = run(directory, "./pan", f"-m{MAX_DEPTH}")
    states = re.search(r"(\d+) states, stored", output)
    errors = re.search(r"errors: (\d+)", output)
    if not states or not errors or "max search depth too small" in output:
        raise RuntimeError(output)
    if "Search not completed" in output and errors[1] == "0":
        raise RuntimeError(output)
    if mutant and errors[1] != "0" and "assertion violated" not in output:
        raise RuntimeError(output)
    return int(states[1]), int(errors[1])


def find_mutants(spec):
    """Returns the macros that each remove a guard."""
    text = spec.read_text(encoding="utf-8")
    return re.findall(r"#(?:ifdef |elif defined\()(\w+)", text)


def check(job):
    """Checks a specification or mutant. Returns a result line and whether it passed."""
    spec, mutant = job
    try:
        states, errors = search(spec, mutant)
    except (RuntimeError, subprocess.TimeoutExpired) as error:
        return f"failed {spec.stem} {mutant or ''}: {error}", False
    if mutant is None:
        return f"spec {spec.stem}: states {states}, errors {errors}", errors == 0
    found = errors > 0
    return f"mutant {spec.stem}.{mutant}: {'found' if found else 'MISSED'}", found


def main():
    """Checks the named specifications, or all of them."""
    names = sys.argv[1:]
    specs = sorted((ROOT / "spec").glob("*.pml"))
    specs = [it for it in specs if not names or it.stem in names]
    jobs = [(spec, mutant) for spec in specs for mutant in [None] + find_mutants(spec)]
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_JOBS) as pool:
        results = list(pool.map(check, jobs))
    for line, _ in results:
        print(line)
    passed = bool(results) and all(it for _, it in results)
    print("prove: passed" if passed else "prove: FAILED")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
