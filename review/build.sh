#!/bin/sh
# Builds the stand-ins of the review's scripts. They are in Python, as are the
# project's own that they use (tests/relay/fake_store.py): nothing to compile.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import tomllib'
for file in review/common/*.py review/*/*.py tests/relay/fake_store.py tests/relay/relay_nodes.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
test -x target/packages/node/heatherfork
