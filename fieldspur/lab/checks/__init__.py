"""What must hold, what came out, and reports of it."""
