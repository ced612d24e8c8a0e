"""Reads the query of a call to the store as strictly as a real store does."""
import re
import urllib.parse

REQUEST_LINE = re.compile(rb"GET [!-~]+ HTTP/1\.1\r\n")
QUERY = re.compile(r"([A-Za-z0-9._~!$&'()*+,;=:@/?-]|%[0-9A-Fa-f]{2})*")


def is_request_line(line):
    return REQUEST_LINE.fullmatch(line) is not None


def read_query(target):
    """Returns the path and the values, as bytes by their names; None if it is invalid."""
    path, _, query = target.partition("?")
    if not QUERY.fullmatch(query):
        return None
    values = {}
    for field in query.split("&"):
        name, _, value = field.partition("=")
        values[name] = urllib.parse.unquote_to_bytes(value.replace("+", " "))
    return path, values
