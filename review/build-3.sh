#!/bin/sh
# The stand-ins of cases 11 to 15 are Python and need no build.
set -e
cd "$(dirname "$0")/.."
python3 -B -c 'import sys; sys.path.insert(0, "review/common3"); import site3'
