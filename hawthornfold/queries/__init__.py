"""One query end to end: fan-out, hedging, merge."""
