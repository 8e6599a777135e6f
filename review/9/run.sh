#!/bin/sh
# Plays the case with the platform's build. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 plays the same without the disruption. What was sent, answered and run is written to record.txt beside this file.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || { echo "there is no .venv: run the build of the deploy file first"; exit 2; }
exec ../../.venv/bin/python -B play.py
