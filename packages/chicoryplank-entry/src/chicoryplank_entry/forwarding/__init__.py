"""Forwarding of plain HTTP requests to replicas, without agents between."""
