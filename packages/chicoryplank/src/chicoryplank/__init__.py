"""Decisions of the chicoryplank load balancer, without I/O."""
