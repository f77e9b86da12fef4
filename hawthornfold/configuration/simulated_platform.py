"""A platform without sockets, for simulations."""

import result

from hawthornfold.codes import Failure
from hawthornfold.codes import ResultCode
from hawthornfold.sources import KeysReply
from hawthornfold.sources import KeyValue
from hawthornfold.sources import VMsReply


class SimulatedPlatform:
    """The platform's keys and VM list, or a stale replica of them."""

    def __init__(self, vms=()):
        self.revision = 0
        self.keys = {}
        self.vms = tuple(vms)
        self.vms_revision = 1
        self.down = False
        self.reads = 0

    def write(self, key, value):
        """Store a document (None deletes) under the next revision."""
        self.revision += 1
        self.keys[key] = KeyValue(self.revision, value)

    def copy(self):
        """Return a replica that stays at the current revision."""
        replica = SimulatedPlatform(self.vms)
        replica.revision = self.revision
        replica.vms_revision = self.vms_revision
        replica.keys = dict(self.keys)
        return replica


class SimulatedReader:
    """Reads a simulated platform without waiting."""

    def __init__(self, platform):
        self.platform = platform
        self.revision = 0

    def read_keys(self, since, wait_ms):
        """Return the keys that are newer than `since`."""
        if self._count_read_and_check_down():
            return self._fail()
        platform = self.platform
        self.revision = platform.revision
        keys = {
            key: value
            for key, value in platform.keys.items()
            if value.revision > since
        }
        return result.Ok(KeysReply(platform.revision, keys))

    def read_vms(self):
        """Return the VM list."""
        if self._count_read_and_check_down():
            return self._fail()
        return result.Ok(
            VMsReply(self.platform.vms_revision, self.platform.vms)
        )

    def _count_read_and_check_down(self):
        self.platform.reads += 1
        return self.platform.down

    def _fail(self):
        return result.Err(
            Failure(ResultCode.PLATFORM_UNREACHABLE, 'simulated outage')
        )
