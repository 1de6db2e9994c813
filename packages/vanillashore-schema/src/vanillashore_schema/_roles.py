"""Roles of endpoints."""

from enum import StrEnum


class EndpointRole(StrEnum):
    """What an endpoint is used for."""

    PREFILL = "prefill"
    DECODE = "decode"
    SERVICE = "service"
