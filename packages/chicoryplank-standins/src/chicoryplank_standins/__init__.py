"""Simulated platform services and a load generator, for tests only.

The simulated servers implement the parts of the real interfaces that the
product uses. Most of them accept injected faults.
"""
