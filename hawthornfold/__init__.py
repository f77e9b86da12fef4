"""A query tier over many shards, driven by operators' when-then rules."""

import warnings

# eventlet is used on purpose (see docs/decisions/), and users of the commands
# cannot act on its deprecation warning.
warnings.filterwarnings('ignore', message=r'\s*Eventlet is deprecated')

__version__ = '0.1.0'
