"""The users' platform: its names, formats and calls.

Everything here translates; nothing decides. The rest of the project knows
none of the platform's names.
"""
