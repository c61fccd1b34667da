"""An address that is in use stops a daemon with the flag and the value told."""

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
FREE = "127.0.0.1:0"
CASES = [
    (CONTROL, "--listen", socket.SOCK_STREAM, []),
    (CONTROL, "--metrics", socket.SOCK_STREAM, ["--listen", FREE]),
    (ENTRY, "--data", socket.SOCK_DGRAM, []),
    (ENTRY, "--metrics", socket.SOCK_STREAM, ["--data", FREE]),
    (AGENT, "--data", socket.SOCK_DGRAM, []),
    (AGENT, "--metrics", socket.SOCK_STREAM, ["--data", FREE]),
]


def run(arguments):
    command = [sys.executable, "-m", "fulmarshore", *arguments]
    return subprocess.run(
        command, capture_output=True, text=True, timeout=RUN_TIMEOUT_S, check=False
    )


class BindTest(TestCase):
    def test_address_in_use_is_a_wrong_flag(self):
        for role, flag, kind, more in CASES:
            for shared in (False, True):
                with (
                    self.subTest(role=role[0], flag=flag, shared=shared),
                    socket.socket(socket.AF_INET, kind) as held,
                ):
                    if shared:
                        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    held.bind(("127.0.0.1", 0))
                    if kind == socket.SOCK_STREAM:
                        held.listen()
                    value = f"127.0.0.1:{held.getsockname()[1]}"
                    self.check_refused([*role, *more, flag, value], flag, value)

    def test_disk_of_a_control_host_that_cannot_listen_is_closed(self):
        with TemporaryDirectory() as name, socket.socket() as held:
            held.bind(("127.0.0.1", 0))
            held.listen()
            value = f"127.0.0.1:{held.getsockname()[1]}"
            command = [*CONTROL, "--data-folder", str(Path(name) / "c")]
            self.check_refused([*command, "--listen", value], "--listen", value)

    def check_refused(self, arguments, flag, value):
        result = run(arguments)
        self.assertEqual(result.returncode, 2, result.stderr)
        self.assertIn(f"Invalid value for {flag}: '{value}': ", result.stderr)
        self.assertIn("Address already in use", result.stderr)
        self.assertNotIn("Traceback", result.stderr)
