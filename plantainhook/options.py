"""Options of a daemon, read from a TOML file when it starts.

``load_options`` returns them as one typed object, which is passed to the
modules that need it; there is no global. Values that operators change while
daemons run belong to the settings tree (see ``schema``), not here.
"""

import pathlib
import tomllib
import typing
from collections import abc

import pydantic
import result

from plantainhook import errors, schema

LogFormat = typing.Literal["text", "json"]


class TlsOptions(schema.Model):
    """Name the files for mutual TLS between daemons.

    The files are read again every ``reload_interval_s``.
    """

    certificate_file: pathlib.Path
    key_file: pathlib.Path
    ca_file: pathlib.Path
    reload_interval_s: float = pydantic.Field(default=30.0, gt=0)


class TokenOptions(schema.Model):
    """Assign roles to a bearer token."""

    token: str = pydantic.Field(min_length=8)
    roles: list[typing.Literal["query", "read", "apply", "drain"]]


class ForwardOptions(schema.Model):
    """Define the options of a daemon that forwards HTTP requests by route.

    The budget fields limit the extra calls, that is calls after the first
    one of a request, that a service may receive in a window from all daemons.
    """

    front_address: schema.Address
    ready_address: schema.Address
    store_address: schema.Address
    metrics_address: schema.Address | None = None
    budget_window_s: float = pydantic.Field(default=10.0, gt=0)
    budget_extra_ratio: float = pydantic.Field(default=0.2, ge=0)
    budget_extra_count: float = pydantic.Field(default=50.0, ge=0)
    # How far the limit of a cold leaf may be exceeded in one second.
    cold_over_ratio: float = pydantic.Field(default=1.5, ge=0)
    cold_slack_count: float = pydantic.Field(default=5.0, ge=0)
    # Each kind of objects that is read costs calls of the store.
    reads_evacuations: bool = True
    # Whether a leaf that has started or recovered gets its calls gradually.
    recovery_pace: bool = True
    stop_timeout_s: float = pydantic.Field(default=6.0, gt=0)
    # The CPU of the VM: the share of a core, and the core's relative speed.
    cpu_share_ratio: float = pydantic.Field(default=1.0, gt=0)
    cpu_speed_factor: float = pydantic.Field(default=1.0, gt=0)
    # With 1, the daemon that gathers a query calls all its leafs itself; with
    # 2, helpers in other data centres call and merge the leafs there.
    gather_levels_count: int = pydantic.Field(default=2, ge=1, le=2)
    # The window in which the quotas of tenants hold, and how many requests
    # more it may have.
    quota_window_s: float = pydantic.Field(default=5.0, gt=0)
    quota_slack_count: float = pydantic.Field(default=0.0, ge=0)
    # Number of daemons assumed until the members are known.
    fleet_least_count: int = pydantic.Field(default=9, ge=1)
    # The memory of the VM, and how many files and sockets the process may
    # open; what clients may hold follows from them.
    memory_limit_mb: float = pydantic.Field(default=256.0, gt=0)
    descriptor_limit_count: int = pydantic.Field(default=4096, ge=1)


class Options(schema.Model):
    """Define all options of a daemon.

    ``forward`` is set for a daemon that forwards HTTP requests by route.
    Without ``tls`` the links between daemons are not encrypted.
    """

    name: schema.Name = "daemon"
    vm_id: str = "vm-0"
    data_centre: schema.Name = "dc-1"
    http_address: schema.Address = "127.0.0.1:8080"
    peer_address: schema.Address = "127.0.0.1:7080"
    object_api_url: str = "http://127.0.0.1:9000"
    object_api_token: str = ""
    vm_list_url: str = "http://127.0.0.1:9001"
    seed_peers: list[schema.Address] = []
    log_format: LogFormat = "text"
    log_level: typing.Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    decision_log_per_s: float = pydantic.Field(default=50.0, gt=0)
    settings_poll_s: float = pydantic.Field(default=30.0, gt=0)
    watch_timeout_s: float = pydantic.Field(default=20.0, gt=0)
    object_api_timeout_s: float = pydantic.Field(default=2.0, gt=0)
    object_api_calls_per_s: float = pydantic.Field(default=20.0, gt=0)
    probe_interval_s: float = pydantic.Field(default=1.0, gt=0)
    probe_timeout_s: float = pydantic.Field(default=0.5, gt=0)
    suspicion_s: float = pydantic.Field(default=5.0, gt=0)
    digest_interval_s: float = pydantic.Field(default=2.0, gt=0)
    watcher_count: int = pydantic.Field(default=2, ge=1)
    leaf_poll_interval_s: float = pydantic.Field(default=1.0, gt=0)
    vm_list_interval_s: float = pydantic.Field(default=1.0, gt=0)
    segment_interval_s: float = pydantic.Field(default=10.0, gt=0)
    fold_interval_s: float = pydantic.Field(default=60.0, gt=0)
    fold_lease_s: float = pydantic.Field(default=60.0, gt=0)
    drain_notice_s: float = pydantic.Field(default=2.0, ge=0)
    drain_timeout_s: float = pydantic.Field(default=120.0, gt=0)
    peer_message_limit_bytes: int = pydantic.Field(default=4_194_304, ge=1024)
    query_body_limit_bytes: int = pydantic.Field(default=1_048_576, ge=1024)
    concurrent_query_limit_count: int = pydantic.Field(default=256, ge=1)
    queued_query_limit_count: int = pydantic.Field(default=1000, ge=1)
    archive_queue_limit_count: int = pydantic.Field(default=1000, ge=1)
    forward: ForwardOptions | None = None
    tls: TlsOptions | None = None
    tokens: list[TokenOptions] = []


def load_options(
    path: pathlib.Path | None, assignments: abc.Sequence[str] = ()
) -> result.Result[Options, errors.SettingsError]:
    """Read options from a TOML file and assignments like ``name=value``.

    An assignment takes precedence over the file; its value is TOML or a bare
    string. Returns the first error, with the file and the key path.
    """
    data: dict[str, typing.Any] = {}
    file = "command line"
    if path is not None:
        file = str(path)
        try:
            data = tomllib.loads(path.read_text(encoding="utf-8"))
        except OSError as error:
            detail = f"cannot read the file: {error.strerror}"
            return result.Err(errors.SettingsError(file, 0, "", detail))
        except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
            return result.Err(errors.SettingsError(file, 0, "", str(error)))
    for assignment in assignments:
        name, separator, text = assignment.partition("=")
        if not separator:
            detail = f"expected OPTION=VALUE, found {assignment!r}"
            return result.Err(errors.SettingsError(file, 0, name, detail))
        data[name] = _parse_value(text)
    try:
        return result.Ok(Options.model_validate(data))
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        key_path = ".".join(str(part) for part in first["loc"])
        return result.Err(
            errors.SettingsError(file, 0, key_path, first["msg"])
        )


def _parse_value(text: str) -> typing.Any:
    """Parse a value as TOML; return the text itself if it is not TOML."""
    try:
        return tomllib.loads(f"value = {text}")["value"]
    except tomllib.TOMLDecodeError:
        return text
