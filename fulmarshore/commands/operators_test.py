import json
from pathlib import Path
from tempfile import TemporaryDirectory
from threading import Event, Thread
from unittest import TestCase

import zmq
from click.testing import CliRunner
from msgspec.structs import replace

from fulmarshore.agreement.history import list_history
from fulmarshore.agreement.state import State, answer_change, apply_command
from fulmarshore.commands.main import cli
from fulmarshore.core.codec import decode_control, encode
from fulmarshore.core.records import (
    Change,
    Freshness,
    HistoryRequest,
    Identity,
    Join,
    Member,
    ProcessStatus,
    ReplicaId,
    ReplicaStatus,
    StatusReply,
    StatusRequest,
)
from fulmarshore.membership.view import make_delta

FILE = """
[[zone]]
name = "a"
[[profile]]
name = "p"
kind = "feed"
[[service]]
name = "s"
profile = "p"
host = "127.0.0.1"
port = 7000
"""


LEADER = ReplicaStatus(ReplicaId("c", "d1"), "leader", 9, 0.0)


class FakeControl:
    """A control host on a thread that answers from the state machine alone."""

    def __init__(self):
        self.version_lag = 0
        self.state, _ = apply_command(
            State(), 1, Join(Member("m", 1, "s", "a", "127.0.0.1", 9))
        )
        self.context = zmq.Context()
        self.socket = self.context.socket(zmq.ROUTER)
        self.port = self.socket.bind_to_random_port("tcp://127.0.0.1")
        self.stopping = Event()
        self.thread = Thread(target=self.run)
        self.thread.start()

    def stop(self):
        self.stopping.set()
        self.thread.join()
        self.context.destroy(linger=0)

    def run(self):
        while not self.stopping.is_set():
            if not self.socket.poll(20):
                continue
            peer, frame = self.socket.recv_multipart()
            reply = self.answer(decode_control(frame, "operator"))
            self.socket.send_multipart([peer, encode(reply)])

    def answer(self, message):
        match message:
            case StatusRequest():
                version = self.state.view.version
                process = ProcessStatus(
                    Identity("m", 1), "agent", "a", version - self.version_lag, 0.1
                )
                delta = make_delta(self.state.view, 0)
                number = self.state.next_number
                freshness = Freshness(1, 1)
                return StatusReply(
                    "c", "c", freshness, delta, [process], number, 3, 9, [LEADER]
                )
            case HistoryRequest():
                return list_history(self.state, "c", message)
            case Change():
                reply = answer_change(self.state, message)
                if reply is None:
                    index = self.state.index + 1
                    self.state, reply = apply_command(self.state, index, message)
                return reply
        raise AssertionError(message)


class OperatorsTest(TestCase):
    def test_changes_and_reports_in_one_session(self):
        control = FakeControl()
        self.addCleanup(control.stop)
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "f.toml"
        path.write_text(FILE)
        file = str(path)
        ann, ben = ["--operator", "ann"], ["--operator", "ben"]
        table = [
            (["plan", file], 0, "service s"),
            (["apply", file, *ann, "--number", "1", "--wait"], 0, "in force at 1 of 1"),
            (["apply", file, *ann, "--number", "1"], 0, "accepted before as version 2"),
            (["apply", file, *ben, "--number", "1"], 3, "taken by ann"),
            (["apply", file, *ben], 0, "nothing to change"),
            (["zone", "out", "a", *ben], 0, "version 3"),
            (["plan", file], 0, "nothing to change"),
            (["zone", "out", "b", *ben], 2, "allowed is a"),
            (["zone", "in", "a", *ben], 0, "version 4"),
            (["drain", "m", *ben], 0, "version 5"),
            (["drain", "n", *ben], 2, "allowed is m"),
            (["status"], 0, "drained"),
            (["status"], 0, "leader"),
            (["undrain", "m", *ben], 0, "version 6"),
            (["undrain", "m", *ben], 2, "none is known"),
            (["history"], 0, "removed drain m"),
        ]
        for arguments, code, text in table:
            with self.subTest(arguments=arguments):
                result = self.invoke(control, arguments)
                self.assertEqual(result.exit_code, code, result.output)
                self.assertIn(text, result.output)
        control.version_lag = 1
        wait = ["zone", "out", "a", "--wait", "--timeout", "0.1"]
        result = self.invoke(control, wait)
        self.assertEqual(result.exit_code, 5, result.output)
        self.assertIn("not in force at: m", result.output)
        result = self.invoke(control, ["status", "--json"])
        self.assertEqual(json.loads(result.output)["stale"], ["m"])

    def test_pruned_change_is_not_reported_as_accepted(self):
        control = FakeControl()
        self.addCleanup(control.stop)
        control.state = replace(control.state, next_number=5)
        with TemporaryDirectory() as folder:
            path = Path(folder) / "f.toml"
            path.write_text(FILE)
            result = self.invoke(control, ["apply", str(path), "--number", "1"])
        self.assertEqual(result.exit_code, 4, result.output)
        self.assertIn("too long ago", result.output)

    def invoke(self, control, arguments):
        address = f"127.0.0.1:{control.port}"
        return CliRunner().invoke(cli, [*arguments, "--control", address])
