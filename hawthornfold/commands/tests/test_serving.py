import io
import json
import pathlib
import socket
import tempfile
import unittest
import unittest.mock

from hawthornfold.commands import serving
from hawthornfold.process_signals import ReceivedSignals


class ServeTest(unittest.TestCase):
    def test_busy_port_prints_a_result_code(self):
        # Guards against a traceback when another process uses the port.
        with socket.create_server(('127.0.0.1', 0)) as port_holder:
            port = port_holder.getsockname()[1]
            document = {
                'cluster': 'c',
                'node': {
                    'name': 'n',
                    'data_centre': 'd',
                    'host': '127.0.0.1',
                },
                'callers': {'port': 1},
                'operators': {'port': 2},
                'peers': {'port': port},
                'platform': {'addresses': ['127.0.0.1:9']},
            }
            with tempfile.TemporaryDirectory() as directory:
                path = pathlib.Path(directory) / 'settings.json'
                path.write_text(json.dumps(document))
                with unittest.mock.patch('sys.stderr', io.StringIO()) as out:
                    status = serving.serve(
                        str(path), ReceivedSignals(can_reload=False)
                    )
        self.assertEqual(2, status)
        self.assertIn('209 ADDRESS_UNAVAILABLE', out.getvalue())
