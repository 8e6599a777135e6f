"""Run the adapter on standard input and output until the input ends."""

import sys

from fieldspur.simulator.codec import BadInput, serve

try:
    serve(sys.stdin.buffer, sys.stdout)
except BadInput as bad:
    print(f"fieldspur.drill: {bad}", file=sys.stderr)
    sys.exit(2)
except (BrokenPipeError, KeyboardInterrupt):
    sys.exit(1)
