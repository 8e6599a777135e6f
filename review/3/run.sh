#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
python="$here/../../.venv/bin/python"
[ -x "$python" ] || { echo "could not run: no .venv, run the build of deploy/balancer.toml first"; exit 2; }
exec "$python" -B "$here/case.py"
