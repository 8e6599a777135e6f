#!/bin/sh
# Plays the case with the platform's build. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || { echo "there is no .venv: run the build of the deploy file first"; exit 2; }
exec ../../.venv/bin/python -B play.py
