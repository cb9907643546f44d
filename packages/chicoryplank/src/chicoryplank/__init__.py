"""Decision logic of the chicoryplank load balancer, free of I/O."""
