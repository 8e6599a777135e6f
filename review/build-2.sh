#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python programs of the standard library, so this only checks that they compile.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "there is no .venv: run the build of the deploy file first" >&2; exit 2; }
for file in review/common-2/*.py review/6/*.py review/7/*.py review/8/*.py review/9/*.py review/10/*.py; do
    .venv/bin/python -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
