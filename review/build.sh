#!/bin/sh
# Builds what the cases start besides the router. The stand-ins are Python files that need only the standard library, so this only
# checks that the interpreter of the deploy file's build is there and can compile them.
here=$(cd "$(dirname "$0")" && pwd)
python="$here/../.venv/bin/python"
[ -x "$python" ] || { echo "no .venv: run the build of deploy/balancer.toml first"; exit 2; }
for file in "$here"/common/standins.py "$here"/[123]/case.py; do
    "$python" -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
