"""Runs the simulator adapter on standard input and output until the input ends."""

import sys

from fieldspur.simulator.codec import BadInput, serve

try:
    serve(sys.stdin.buffer, sys.stdout)
except BadInput as error:
    print(f"fieldspur.drill: {error}", file=sys.stderr)
    sys.exit(2)
except (BrokenPipeError, KeyboardInterrupt):
    sys.exit(1)
