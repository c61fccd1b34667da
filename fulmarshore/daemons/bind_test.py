"""A daemon whose address is in use exits with an error that names flag and value."""

import socket
import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

RUN_TIMEOUT_S = 30.0
CONTROL = ["control", "--name", "c", "--zone", "z"]
ENTRY = ["entry", "--name", "e", "--zone", "z", "--control", "127.0.0.1:1"]
AGENT = ["agent", "--name", "a", "--zone", "z", "--control", "127.0.0.1:1"]
AGENT += ["--service", "s", "--upstream", "127.0.0.1:1"]
ANY_PORT = "127.0.0.1:0"
CASES = [
    (CONTROL, "--listen", socket.SOCK_STREAM, []),
    (CONTROL, "--metrics", socket.SOCK_STREAM, ["--listen", ANY_PORT]),
    (ENTRY, "--data", socket.SOCK_DGRAM, []),
    (ENTRY, "--metrics", socket.SOCK_STREAM, ["--data", ANY_PORT]),
    (AGENT, "--data", socket.SOCK_DGRAM, []),
    (AGENT, "--metrics", socket.SOCK_STREAM, ["--data", ANY_PORT]),
]


def run(arguments):
    command = [sys.executable, "-m", "fulmarshore", *arguments]
    return subprocess.run(
        command, capture_output=True, text=True, timeout=RUN_TIMEOUT_S, check=False
    )


class BindTest(TestCase):
    def test_address_in_use_is_an_invalid_flag_value(self):
        for role, flag, socket_type, extra in CASES:
            for shared in (False, True):
                with (
                    self.subTest(role=role[0], flag=flag, shared=shared),
                    socket.socket(socket.AF_INET, socket_type) as bound,
                ):
                    if shared:
                        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    bound.bind(("127.0.0.1", 0))
                    if socket_type == socket.SOCK_STREAM:
                        bound.listen()
                    value = f"127.0.0.1:{bound.getsockname()[1]}"
                    self.check_refused([*role, *extra, flag, value], flag, value)

    def test_control_host_that_cannot_listen_closes_its_disk(self):
        with TemporaryDirectory() as name, socket.socket() as bound:
            bound.bind(("127.0.0.1", 0))
            bound.listen()
            value = f"127.0.0.1:{bound.getsockname()[1]}"
            command = [*CONTROL, "--data-folder", str(Path(name) / "c")]
            self.check_refused([*command, "--listen", value], "--listen", value)

    def check_refused(self, arguments, flag, value):
        result = run(arguments)
        self.assertEqual(result.returncode, 2, result.stderr)
        self.assertIn(f"Invalid value for {flag}: '{value}': ", result.stderr)
        self.assertIn("Address already in use", result.stderr)
        self.assertNotIn("Traceback", result.stderr)
