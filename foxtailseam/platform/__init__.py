"""Adapter for the platform: decodes its names, formats and calls into internal types.

This package makes no decisions, and no other package uses the platform's names.
"""

from foxtailseam.platform._configuration import (
    CONFIGURATION_KEY,
    decode_configuration,
    evacuated_domain_from_key,
    is_evacuation_key,
    is_used_key,
)
from foxtailseam.platform._entries import decode_entry, searcher_id_from_key
from foxtailseam.platform._headers import (
    REQUEST_ID_HEADER,
    PlatformRequestTemplate,
    RequestMetadata,
    forwarded_headers,
    local_response_headers,
    merged_response_headers,
    parse_request_headers,
    parse_response_headers,
)
from foxtailseam.platform._settings import (
    MAX_SETTINGS_BYTES,
    SETTINGS_VARIABLE,
    Bounds,
    HostLimits,
    HostSettings,
    decode_settings,
)
from foxtailseam.platform._store import PlatformStore

# Request target of the readiness check of the load balancer.
READY_TARGET = b"/-/ready"

__all__ = [
    "CONFIGURATION_KEY",
    "MAX_SETTINGS_BYTES",
    "REQUEST_ID_HEADER",
    "READY_TARGET",
    "SETTINGS_VARIABLE",
    "Bounds",
    "HostLimits",
    "HostSettings",
    "PlatformStore",
    "PlatformRequestTemplate",
    "RequestMetadata",
    "forwarded_headers",
    "decode_configuration",
    "decode_entry",
    "decode_settings",
    "evacuated_domain_from_key",
    "is_evacuation_key",
    "merged_response_headers",
    "parse_response_headers",
    "parse_request_headers",
    "is_used_key",
    "local_response_headers",
    "searcher_id_from_key",
]
