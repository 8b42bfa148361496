"""A randomized soak test: real instances as processes, with faults injected from outside."""
