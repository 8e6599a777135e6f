"""What a txn costs: measured beside another build, and counted against limits."""
