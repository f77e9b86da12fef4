"""The ``__main__`` of the shipped file: picks where it unpacks itself.

Python cannot load native extensions from a zip file, so that shiv unpacks
the libraries once and later starts reuse them. VMs have no disks; the
directory is therefore one of a memory file system.
"""

import os
import pathlib
import stat

# tmpfs on Linux; /run is writable to root only, /run/user/UID to its user.
SYSTEM_ROOT = pathlib.Path('/run/hawthornfold')
USER_PARENT = pathlib.Path(f'/run/user/{os.geteuid()}')


def is_private(path):
    """Return whether only this user can change what is in `path`.

    Code is loaded from there: a directory that another user has made
    beforehand must not be used.
    """
    status = path.lstat()
    return (
        stat.S_ISDIR(status.st_mode)
        and status.st_uid == os.geteuid()
        and not status.st_mode & (stat.S_IWGRP | stat.S_IWOTH)
    )


def choose_root(system_root=SYSTEM_ROOT, user_parent=USER_PARENT):
    """Make and return the directory to unpack into.

    Raises
    ------
    SystemExit
        When none can be had.
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
    # Part of the shipped file only.
    import _bootstrap

    _bootstrap.bootstrap()


if __name__ == '__main__':
    main()
