import os
import pathlib
import tempfile
import unittest

from hawthornfold.gateway.settings_file import SettingsFile


class SettingsFileTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name, 'node.toml')
        self.path.write_bytes(b'a = 1')

    def parse(self, content):
        """Parse a file that another program rewrites at the same time."""
        self.rewrite()
        if content == b'bad':
            raise ValueError('bad')
        return content

    def rewrite(self):
        """Do nothing by default."""

    def create_file(self):
        return SettingsFile(self.path, self.parse)

    def test_change_while_the_settings_are_loaded_is_noticed(self):
        # Guards against a change that is lost because the state of the file
        # is remembered later than it is read. The new content has the size
        # and time of the former one, in the same inode.
        status = self.path.stat()

        def rewrite():
            self.path.write_bytes(b'a = 2')
            os.utime(self.path, ns=(status.st_atime_ns, status.st_mtime_ns))

        self.rewrite = rewrite
        file = self.create_file()
        self.assertEqual(file.load(), b'a = 1')
        self.assertTrue(file.has_changed())
        self.assertEqual(file.load(), b'a = 2')
        self.assertFalse(file.has_changed())

    def test_invalid_and_missing_files_are_reported_once(self):
        # Guards against an error each second for the same content.
        file = self.create_file()
        file.load()
        self.path.write_bytes(b'bad')
        self.assertTrue(file.has_changed())
        with self.assertRaises(ValueError):
            file.load()
        self.assertFalse(file.has_changed())
        self.path.unlink()
        self.assertTrue(file.has_changed())
        with self.assertRaises(OSError):
            file.load()
        self.assertFalse(file.has_changed())
        self.path.write_bytes(b'a = 1')
        self.assertTrue(file.has_changed())
