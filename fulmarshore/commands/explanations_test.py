"""The command that explains a placement, against a daemon's own HTTP handler."""

import json
import subprocess
import sys
import threading
from collections import Counter
from types import SimpleNamespace
from unittest import TestCase

from click.testing import CliRunner

from fulmarshore.adapters.eventloop import EventLoop
from fulmarshore.adapters.httpserver import HttpResponse, HttpServer
from fulmarshore.commands.main import cli
from fulmarshore.daemons.directentry import EntryDaemon
from fulmarshore.direct.explanation_test import NARROW, make_core

ROUTE, UPLOAD_ROUTE, MIXED_ROUTE = (f"198.18.0.1:{port}" for port in (443, 444, 445))
LAZY_MODULE = "fulmarshore.direct.explanation"


class PlacementCommandTest(TestCase):
    def setUp(self):
        self.daemon = SimpleNamespace(core=make_core(NARROW))
        self.serve(lambda *args: EntryDaemon.handle_http(self.daemon, *args))

    def serve(self, handle):
        """Serve HTTP until the end of the test."""
        loop = EventLoop()
        server = HttpServer(loop, "127.0.0.1", 0, handle, Counter())
        thread = threading.Thread(target=loop.run)
        thread.start()
        self.addCleanup(loop.close)
        self.addCleanup(server.close)
        self.addCleanup(thread.join)
        self.addCleanup(loop.call_from_thread, loop.stop)
        self.entry = f"127.0.0.1:{server.port}"

    def explain(self, *arguments):
        """Run the command."""
        options = ["--entry", self.entry, *arguments]
        return CliRunner().invoke(cli, ["explain", "placement", *options])

    def test_output_names_outcome_agents_and_uploads(self):
        cases = [
            ([ROUTE], ["offered: 10.0.0.1 of 2", "service: desk", "10.0.0.2"]),
            ([UPLOAD_ROUTE], ["uploads: 0 in progress, limit 1, 0 waiting"]),
            ([MIXED_ROUTE], ["desk 75%, store 25%", "10.0.0.3"]),
            (["198.18.0.1:9"], ["no_route", "version 4", "service: none"]),
            ([ROUTE, "--caller", "1.2.3.4:5"], ["service: desk"]),
        ]
        for arguments, expected in cases:
            with self.subTest(arguments):
                result = self.explain(*arguments)
                self.assertEqual(result.exit_code, 0, result.output)
                for text in expected:
                    self.assertIn(text, result.output)

    def test_json_has_the_documented_fields(self):
        answer = json.loads(self.explain(UPLOAD_ROUTE, "--json").output)
        fields = {"outcome", "service", "reason", "placement", "ranking", "upload"}
        self.assertEqual(set(answer), fields)
        upload = {"admitted": 0, "limit": 1, "waiting": 0, "wait_ms": 0.0}
        self.assertEqual(answer["upload"], upload)

    def test_invalid_input_names_field_and_value(self):
        cases = [
            (["nowhere"], "ADDRESS:PORT", "nowhere"),
            (["1.2.3.4:70000"], "ADDRESS:PORT", "70000"),
            (["::1:80"], "route", "::1:80"),
            (["1.2.3.4:0"], "route", "1.2.3.4:0"),
            ([ROUTE, "--caller", "x"], "--caller", "'x'"),
            ([ROUTE, "--caller", "1.2.3.4:0"], "caller", "1.2.3.4:0"),
            ([ROUTE, "--entry", "here"], "--entry", "here"),
        ]
        for arguments, field, value in cases:
            with self.subTest(arguments):
                result = self.explain(*arguments)
                self.assertEqual(result.exit_code, 2, result.output)
                self.assertIn(field, result.output)
                self.assertIn(value, result.output)

    def test_hosts_without_an_explanation_are_an_error(self):
        responses = [
            HttpResponse(404),
            HttpResponse(503),
            HttpResponse(200, b"{}"),
            HttpResponse(200, b"not JSON"),
            HttpResponse(400, b'{"error": "not HTTP"}'),
        ]
        for response in responses:
            with self.subTest(response):
                self.serve(lambda _, respond, r=response: respond(r))
                result = self.explain(ROUTE)
                self.assertEqual(result.exit_code, 1, result.output)
                self.assertIn(self.entry, result.output)
        self.entry = "127.0.0.1:1"
        result = self.explain(ROUTE)
        self.assertEqual(result.exit_code, 1)
        self.assertIn("--entry 127.0.0.1:1: no answer", result.output)

    def test_entry_daemon_answers_other_requests_as_before(self):
        cases = [("GET", "/placements", 404), ("POST", "/placement?route=x", 405)]
        for method, path, status in cases:
            with self.subTest(path=path):
                answers = []
                daemon = EntryDaemon.__new__(EntryDaemon)
                request = SimpleNamespace(method=method, path=path)
                daemon.handle_http(request, answers.append)
                self.assertEqual([answer.status for answer in answers], [status])

    def test_entry_daemon_does_not_import_the_explanation_at_its_start(self):
        # The memory of entry hosts is priced.
        code = (
            "import sys, fulmarshore.daemons.directentry\n"
            f"print({LAZY_MODULE!r} in sys.modules)"
        )
        found = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        )
        self.assertEqual(found.stdout.strip(), "False")
