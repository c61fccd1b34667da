"""Error texts for bodies that cannot be decoded, with field and value."""

from __future__ import annotations

import re

import msgspec

from fulmarshore.core.ranges import DECODE_ERRORS

MAX_VALUE_CHARACTERS = 80
"""Longest value that an error quotes."""
_STEP = re.compile(r"\.(\w+)|\[(\d+)\]")
_PATH = re.compile(r"at `\$(\S*)`$")


def describe_decode_error(body: bytes, error: Exception) -> str:
    """Return the text of an error of a JSON decoder, with the value that caused it."""
    found = _PATH.search(str(error))
    if found is None:
        return str(error)
    try:
        value = msgspec.json.decode(body)
        for name, number in _STEP.findall(found[1]):
            value = value[name] if name else value[int(number)]
        text = msgspec.json.encode(value).decode()
    except (*DECODE_ERRORS, LookupError, TypeError):
        # The field is missing, or the value itself cannot be decoded.
        return str(error)
    if len(text) > MAX_VALUE_CHARACTERS:
        text = f"{text[:MAX_VALUE_CHARACTERS]}..."
    return f"{error}, found {text}"
