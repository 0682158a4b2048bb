"""Soak of real ``redwing-node`` processes against stand-ins, with faults drawn from a seed."""
