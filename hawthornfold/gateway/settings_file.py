"""Reads a settings file and tells whether it has changed since."""


class SettingsFile:
    """A settings file that is rewritten while the node runs.

    The content itself is remembered, not the time of the last change: a time
    that is read before or after the content may belong to another content.

    Parameters
    ----------
    path : str
    parse : callable
        Takes the content as bytes; returns the `GatewaySettings`, or raises
        ValueError with a reason.
    """

    def __init__(self, path, parse):
        self._path = path
        self._parse = parse
        # None if the file could not be read.
        self._content = None

    def has_changed(self):
        """Return whether the file differs from what was loaded last."""
        try:
            return self._read() != self._content
        except OSError:
            return self._content is not None

    def load(self):
        """Read the file; return its `GatewaySettings`.

        Raises
        ------
        OSError
            If the file cannot be read.
        ValueError
            If it has no valid settings.
        """
        self._content = None
        self._content = self._read()
        return self._parse(self._content)

    def _read(self):
        with open(self._path, 'rb') as file:
            return file.read()
