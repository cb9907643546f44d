"""Test servers in place of the platform's services, and a load generator.

Each stand-in implements the part of a real interface that the product uses,
and accepts injected faults. None of them is meant for production.
"""
