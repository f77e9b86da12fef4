"""Chooses where the shipped file unpacks itself; its ``__main__``.

Python cannot load native extensions from a zip file, so shiv unpacks the
libraries at the first start and later starts reuse them. VMs have no disks,
so the directory is in a memory file system.
"""

import os
import pathlib
import stat

# tmpfs on Linux. Only root can write to /run, and only its user to
# /run/user/UID.
SYSTEM_ROOT = pathlib.Path('/run/hawthornfold')
USER_PARENT = pathlib.Path(f'/run/user/{os.geteuid()}')


def is_private(path):
    """Return whether only this user can change the contents of `path`.

    Code is loaded from the directory, so one that another user created
    beforehand must not be used.
    """
    status = path.lstat()
    return (
        stat.S_ISDIR(status.st_mode)
        and status.st_uid == os.geteuid()
        and not status.st_mode & (stat.S_IWGRP | stat.S_IWOTH)
    )


def choose_root(system_root=SYSTEM_ROOT, user_parent=USER_PARENT):
    """Create the directory to unpack into and return its path.

    Raises
    ------
    SystemExit
        When no candidate is private and writable.
    """
    candidates = (system_root, user_parent / 'hawthornfold')
    for path in candidates:
        try:
            path.mkdir(mode=0o700, exist_ok=True)
            if is_private(path) and os.access(path, os.W_OK):
                return path
        except OSError:
            continue
    names = ' or '.join(map(str, candidates))
    raise SystemExit(
        f'hawthornfold: cannot unpack into {names}; '
        'set SHIV_ROOT to a directory that only this user can write'
    )


def main():
    """Unpack if needed, then run the command line in this process."""
    if not os.environ.get('SHIV_ROOT'):
        os.environ['SHIV_ROOT'] = str(choose_root())
    # Exists in the shipped file only.
    import _bootstrap

    _bootstrap.bootstrap()


if __name__ == '__main__':
    main()
