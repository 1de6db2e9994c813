"""Size of an HTTP exchange on the wire, headers included, for the stand-ins' counts."""

from aiohttp import web

RESPONSE_HEADER_BYTES = 150
TCP_BYTES = 160


def exchange_bytes(request: web.Request, response: web.StreamResponse) -> int:
    """Return about how many bytes an exchange took, both directions together."""
    headers = sum(len(name) + len(value) + 4 for name, value in request.raw_headers)
    sent = headers + len(request.path_qs) + (request.content_length or 0)
    body = len(response.body or b"") if isinstance(response, web.Response) else 0
    return sent + RESPONSE_HEADER_BYTES + body + TCP_BYTES
