"""A soak of real relay processes on loopback under overlapping faults, judged by the protocol's rules."""
