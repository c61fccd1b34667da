import unittest

from fulmarshore.adapters.httpserver import HttpRequest
from fulmarshore.direct.gate import UpstreamBounds
from fulmarshore.direct.orders import OrderState
from fulmarshore.direct.records import (
    Backend,
    Route,
    ServicePolicy,
    Table,
    UpstreamAnnounced,
)
from fulmarshore.direct.settings import Endpoint, HostSettings
from fulmarshore.platform.configuration import make_table, read_configuration
from fulmarshore.platform.formatting import (
    format_announcement,
    format_settings,
    format_table,
)
from fulmarshore.platform.heartbeats import UPSTREAM_PATH, read_heartbeat
from fulmarshore.platform.settings import READY_PATH, parse_settings


class FormattingTest(unittest.TestCase):
    def test_settings_are_parsed_back(self):
        settings = HostSettings(
            name="agent-1",
            host="10.0.0.1",
            zone="a",
            zones=("a", "b"),
            packet_port=8100,
            internal_port=7000,
            control_port=8101,
            seeds=("10.0.0.2", "10.0.0.3"),
            readiness=Endpoint("10.0.0.1", 8102),
            orders=Endpoint("10.0.0.1", 8101),
            outbound=Endpoint("10.0.0.1", 8103),
            upstream=Endpoint("10.0.0.1", 8104),
            ready_path=READY_PATH,
            data_folder="/data",
            bootstrap=True,
            lost_disks=1,
            service="desk",
            upstreams=UpstreamBounds(1.5, 5, 0.5, 2.5),
            grace_s=4.0,
        )
        self.assertEqual(parse_settings(format_settings(settings)), settings)

    def test_table_is_parsed_back(self):
        address = bytes([198, 18, 0, 1]) + (443).to_bytes(2)
        table = Table(
            5,
            7,
            (Route(address, (Backend("desk", 1),)),),
            (ServicePolicy("desk", 2000, 4.0),),
            15.0,
        )
        command = read_configuration(format_table(table))
        state = OrderState(command.version, command.content, (), 5)
        self.assertEqual(make_table(state), table)

    def test_announcement_is_parsed_back(self):
        announced = UpstreamAnnounced("u-1", 99, 3, "desk", "a", 2, False, 1.5)
        body = format_announcement(announced, Endpoint("10.0.0.1", 8104))
        request = HttpRequest("PUT", f"{UPSTREAM_PATH}u-1", body)
        self.assertEqual(read_heartbeat(request), announced)


if __name__ == "__main__":
    unittest.main()
