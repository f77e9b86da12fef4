"""A query tier over many shards, driven by operators' when-then rules."""

import warnings

# eventlet is a deliberate choice (docs/decisions/); its deprecation notice
# is of no use to the people who run the commands.
warnings.filterwarnings('ignore', message=r'\s*Eventlet is deprecated')

__version__ = '0.1.0'
