"""Builds dist/hawthornfold, the single file that is shipped.

The file contains the package and its libraries. It needs Python 3.11 and
Linux on the processor architecture of the machine that built it, because some
libraries are native. docs/decisions/packaging.md explains the reasons.
"""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import zipfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
TARGET = ROOT / 'dist' / 'hawthornfold'
# Native libraries work with one minor version of Python only.
INTERPRETER = '/usr/bin/env python3.11'
MAIN_NAME = '__main__.py'
_SOURCES = ('pyproject.toml', 'README.md')
# Parts that only development needs.
_EXCLUDED = ('tests', 'emulator', 'integration', '__pycache__')


def copy_sources(target):
    """Copy the sources that the wheel is built from.

    setuptools leaves a build directory next to the sources, and later builds
    include its modules even if they were deleted since. A fresh copy has no
    build directory.
    """
    for name in _SOURCES:
        shutil.copy(ROOT / name, target)
    shutil.copytree(
        ROOT / 'hawthornfold',
        target / 'hawthornfold',
        ignore=shutil.ignore_patterns(*_EXCLUDED),
    )


def run_shiv(sources, target):
    """Build a zip application from `sources` with shiv."""
    subprocess.run(
        [
            sys.executable,
            '-m',
            'shiv',
            '--console-script',
            'hawthornfold',
            '--output-file',
            str(target),
            '--python',
            INTERPRETER,
            '--compressed',
            '--reproducible',
            '--quiet',
            '--disable-pip-version-check',
            str(sources),
        ],
        check=True,
    )


def replace_main(archive, main, target):
    """Copy a zip application with another ``__main__``.

    Parameters
    ----------
    archive : Path
        The file that shiv wrote.
    main : Path
        The Python source of the new ``__main__``.
    target : Path
        The executable file to write.
    """
    with target.open('wb') as file:
        file.write(f'#!{INTERPRETER}\n'.encode())
        with (
            zipfile.ZipFile(archive) as old,
            zipfile.ZipFile(file, 'w', zipfile.ZIP_DEFLATED) as new,
        ):
            for entry in old.infolist():
                data = old.read(entry)
                if entry.filename == MAIN_NAME:
                    data = main.read_bytes()
                new.writestr(entry, data)
    target.chmod(0o755)


def main():
    """Build the file; return the exit status."""
    TARGET.parent.mkdir(exist_ok=True)
    with tempfile.TemporaryDirectory() as directory:
        work = pathlib.Path(directory)
        sources = work / 'sources'
        sources.mkdir()
        copy_sources(sources)
        built = work / 'built'
        run_shiv(sources, built)
        finished = TARGET.with_suffix('.new')
        replace_main(built, ROOT / 'tools' / 'dist_main.py', finished)
        os.replace(finished, TARGET)
    megabytes = TARGET.stat().st_size / 1e6
    print(f'{TARGET.relative_to(ROOT)}: {megabytes:.1f} MB')
    return 0


if __name__ == '__main__':
    sys.exit(main())
