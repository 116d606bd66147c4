"""The host process: serves callers' requests by sending them to searchers."""

from foxtailseam.front._configuration import ConfigurationManager
from foxtailseam.front._front import FrontEnd
from foxtailseam.front._host import Host
from foxtailseam.front._metrics_page import METRICS_PORT, METRICS_TARGET
from foxtailseam.front._overload_guard import OverloadGuard, QueryDuration
from foxtailseam.front._process import run_host
from foxtailseam.front._quarantine_guard import QuarantineGuard
from foxtailseam.front._responses import ResponseBuilder
from foxtailseam.front._settings_file import read_settings
from foxtailseam.front._timing import TimingSettings, query_times

__all__ = [
    "METRICS_PORT",
    "METRICS_TARGET",
    "ResponseBuilder",
    "ConfigurationManager",
    "FrontEnd",
    "Host",
    "OverloadGuard",
    "QuarantineGuard",
    "QueryDuration",
    "TimingSettings",
    "query_times",
    "read_settings",
    "run_host",
]
