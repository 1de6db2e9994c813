"""Estimate of the bytes that an HTTP exchange sends, for the traffic counts of the stand-ins."""

from aiohttp import web

RESPONSE_HEADER_BYTES = 150
TCP_OVERHEAD_BYTES = 160


def exchange_bytes(request: web.Request, response: web.StreamResponse) -> int:
    """Return the estimated bytes of an exchange in both directions, headers included."""
    header_bytes = sum(len(name) + len(value) + 4 for name, value in request.raw_headers)
    request_bytes = header_bytes + len(request.path_qs) + (request.content_length or 0)
    body_bytes = len(response.body or b"") if isinstance(response, web.Response) else 0
    return request_bytes + RESPONSE_HEADER_BYTES + body_bytes + TCP_OVERHEAD_BYTES
