"""Names on disk that outlast a loss of power.

Syncing a file makes its content last, not its name: each file that was made, renamed or removed since the last
sync of its folder may be kept or lost by itself. These functions sync the folder, too.
"""

import contextlib
import errno
import os

# what a file system answers that can't sync folders, and needs no sync of them
_CANNOT_SYNC_FOLDERS = (errno.EBADF, errno.EINVAL, errno.ENOTSUP)


def sync_folder(path):
    """Makes every name in the folder last, and the removal of every other. Raises OSError."""
    folder = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(folder)
    except OSError as e:
        if e.errno not in _CANNOT_SYNC_FOLDERS:
            raise
    finally:
        os.close(folder)


def sync_file(path):
    """Makes the content of a file last that is written and closed already. Raises OSError."""
    file = os.open(path, os.O_RDWR)
    try:
        os.fsync(file)
    finally:
        os.close(file)


def make_folder(path):
    """Makes the folder and its missing parents; their names last when this returns. Raises OSError."""
    path = os.path.abspath(path)
    parent = os.path.dirname(path)
    if os.path.isdir(path):
        # an earlier process may have ended between making the folder and syncing its name
        with contextlib.suppress(OSError):
            sync_folder(parent)
        return
    make_folder(parent)
    with contextlib.suppress(FileExistsError):
        os.mkdir(path)
    sync_folder(parent)


def rename(old, new):
    """Renames a file, in place of one that bears the new name; the new name lasts. Raises OSError."""
    os.replace(old, new)
    sync_folder(os.path.dirname(os.path.abspath(new)))


def remove(path):
    """Removes a file if it is there; it does not come back. Raises OSError."""
    with contextlib.suppress(FileNotFoundError):
        os.unlink(path)
        sync_folder(os.path.dirname(os.path.abspath(path)))
