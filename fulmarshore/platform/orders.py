"""Reads operators' orders from HTTP requests of the platform."""

from __future__ import annotations

from urllib.parse import unquote

import msgspec

from fulmarshore.adapters.httpserver import HttpRequest, HttpResponse
from fulmarshore.core.records import Command, PutZone
from fulmarshore.daemons.directcontrol import ReadNewest
from fulmarshore.platform.configuration import read_configuration

CONFIGURATION_PATH = "/v1/config"
ZONE_PATH = "/v1/evacuate/"


class OrderReader:
    """Translates HTTP requests of operators into commands.

    Parameters
    ----------
    zones : tuple of str
        Availability zones that an order may name; empty allows any name.
    """

    __slots__ = ("_zones",)

    def __init__(self, zones: tuple[str, ...]) -> None:
        self._zones = zones

    def read(self, request: HttpRequest) -> Command | ReadNewest | HttpResponse:
        """Return the order of a request, or an error response if it is invalid."""
        path = request.path.partition("?")[0]
        if path == CONFIGURATION_PATH:
            return self._read_configuration(request)
        if path.startswith(ZONE_PATH):
            return self._read_zone(request.method, unquote(path[len(ZONE_PATH) :]))
        return make_error_response(404, f"path: {path} is not known")

    def _read_configuration(
        self, request: HttpRequest
    ) -> Command | ReadNewest | HttpResponse:
        if request.method == "GET":
            return ReadNewest()
        if request.method != "PUT":
            return make_error_response(
                405, f"method: {request.method}, needs GET or PUT"
            )
        result = read_configuration(request.body)
        if isinstance(result, list):
            return make_error_response(400, "; ".join(result[:5]))
        return result

    def _read_zone(self, method: str, zone: str) -> Command | HttpResponse:
        if self._zones and zone not in self._zones:
            return make_error_response(404, f"zone: {zone} is not known")
        if method == "POST":
            return PutZone(zone, True)
        if method == "DELETE":
            return PutZone(zone, False)
        return make_error_response(405, f"method: {method}, needs POST or DELETE")


def make_error_response(status: int, detail: str) -> HttpResponse:
    """Return an error response with a JSON body."""
    return HttpResponse(status, msgspec.json.encode({"error": detail}))
