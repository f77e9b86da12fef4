"""Names of the platform's environment variable, path, keys and headers."""

from hawthornfold.gateway.names import HeaderNames

SETTINGS_VARIABLE = 'HAWTHORNFOLD_NODE_FILE'
READY_PATH = '/api/ready'
SERVERS_PREFIX = 'servers/'
# Prefix of the keys that operators write.
OPERATORS_PREFIX = 'op/'
CONFIGURATION_KEY = 'op/config'
# Prefix of the keys of evacuated data centres.
EVACUATIONS_PREFIX = 'op/evacuate/'
# Header of all answers of the store: how often it has returned from an older
# copy.
STORE_ERA_HEADER = 'Store-Era'

HEADERS = HeaderNames(
    request_id='X-Request-Id',
    deadline='X-Deadline-Ms',
    target='X-Target-Instance',
    seal='X-Server-Seal',
    part_seals='X-Part-Seals',
    missing_parts='X-Missing-Parts',
    not_executed='X-Not-Executed',
    load='X-Server-Load',
    warmup='X-Warmup-Ms',
    leaving='Server-Leaving',
    retry_after='Retry-After',
    rate_limit='Server-Limit',
)
