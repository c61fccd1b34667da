"""Records the time line of one flow in a simulated region, as a golden file.

``python -m fulmarshore.standins.flowlines FOLDER`` writes it.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from tempfile import TemporaryDirectory

import msgspec
from click.testing import CliRunner

from fulmarshore.commands.main import cli
from fulmarshore.core.clock import make_value
from fulmarshore.core.records import Effect, Event, TimelineEntry, Zone
from fulmarshore.standins.routing import CALLER_HOST, RoutedRegion
from fulmarshore.timeline.flows import FlowTracer

START = 1_700_000_000
"""Wall-clock time at which simulated time begins, in seconds of the epoch."""
PORT = 9_002
OTHER_PORTS = range(9_020, 9_032)


class FlowRecorder:
    """Records the flow events of every process of a region.

    Parameters
    ----------
    region : RoutedRegion
        The region; processes that start later are not recorded.
    """

    def __init__(self, region: RoutedRegion) -> None:
        self.entries: dict[str, list[TimelineEntry]] = {}
        for name, node in region.network.nodes.items():
            node.core.handle = self._wrap_handle(name, node.core.handle)

    def _wrap_handle(
        self, name: str, handle: Callable[[Event, float], list[Effect]]
    ) -> Callable[[Event, float], list[Effect]]:
        tracer = FlowTracer()
        entries = self.entries.setdefault(name, [])

        def run(event: Event, now: float) -> list[Effect]:
            effects = handle(event, now)
            for traced in tracer.observe(event, effects):
                entry = TimelineEntry(
                    clock=make_value(START + now) + len(entries) % 4096,
                    host=name,
                    role=name.rstrip("0123456789-"),
                    kind=traced.kind,
                    service=traced.service,
                    flow=traced.flow,
                    peer=traced.peer,
                    detail=traced.detail,
                )
                entries.append(entry)
            return effects

        return run

    def write(self, folder: Path) -> None:
        """Write the time-line file of each process."""
        for name, entries in self.entries.items():
            lines = [msgspec.json.encode(entry) + b"\n" for entry in entries]
            (folder / f"{name}.flows.jsonl").write_bytes(b"".join(lines))


def record_flow(folder: Path) -> None:
    """Run a flow among others: it opens, its owner crashes, its zone goes out."""
    region = RoutedRegion(5, {"feed": 3, "plans": 1})
    recorder = FlowRecorder(region)
    region.send("plans", PORT)
    region.send_all("feed", OTHER_PORTS)
    region.send("feed", PORT, "entry0")
    region.network.run(0.2)
    region.send("feed", PORT, "entry1")
    region.network.run(0.2)
    owner = region.owners[region.get_flow("feed", PORT)][0]
    region.crash(owner)
    region.network.run(5.0)
    for _ in range(3):
        region.send("feed", PORT, "entry0")
        region.network.run(0.5)
    owner = region.owners[region.get_flow("feed", PORT)][0]
    region.change(Zone(region.members[owner].zone, True))
    region.network.run(2.0)
    for _ in range(3):
        region.send("feed", PORT, "entry1")
        region.network.run(0.5)
    recorder.write(folder)


def render_flow() -> str:
    """Return what the ``timeline`` command prints for the flow."""
    with TemporaryDirectory() as folder:
        record_flow(Path(folder))
        arguments = ["timeline", folder, "--flow", f"{CALLER_HOST}:{PORT}"]
        result = CliRunner().invoke(cli, [*arguments, "--service", "feed"])
    return result.output


if __name__ == "__main__":
    (Path(sys.argv[1]) / "one-flow.txt").write_text(render_flow())
