"""Options of one run of the program.

One typed class holds every option; it is passed down and never read from a
global. ``load_options`` reads it from a TOML file at start. What operators
change while daemons run is not here but in the settings tree.
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
    """Hold the files of mutual TLS between daemons."""

    certificate_file: pathlib.Path
    key_file: pathlib.Path
    ca_file: pathlib.Path
    reload_interval_s: float = pydantic.Field(default=30.0, gt=0)


class TokenOptions(schema.Model):
    """Give a bearer token its roles."""

    token: str = pydantic.Field(min_length=8)
    roles: list[typing.Literal["query", "read", "apply", "drain"]]


class ForwardOptions(schema.Model):
    """Hold the options of a daemon that forwards HTTP requests by route.

    The budget fields state how many calls beyond the first of each request a
    service may get in a window, over all daemons.
    """

    front_address: schema.Address
    ready_address: schema.Address
    store_address: schema.Address
    metrics_address: schema.Address | None = None
    budget_window_s: float = pydantic.Field(default=10.0, gt=0)
    budget_extra_ratio: float = pydantic.Field(default=0.2, ge=0)
    budget_extra_count: float = pydantic.Field(default=50.0, ge=0)
    stop_timeout_s: float = pydantic.Field(default=6.0, gt=0)
    # The processor that the VM gives: a share of a core of some speed.
    cpu_share_ratio: float = pydantic.Field(default=1.0, gt=0)
    cpu_speed_factor: float = pydantic.Field(default=1.0, gt=0)
    # Daemons that are assumed to exist before the members are known.
    fleet_least_count: int = pydantic.Field(default=9, ge=1)


class Options(schema.Model):
    """Hold every option of a daemon's run."""

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
    """Read options from a TOML file and assignments like ``name=value``."""
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
        data[name] = _value_of(text)
    try:
        return result.Ok(Options.model_validate(data))
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        key_path = ".".join(str(part) for part in first["loc"])
        return result.Err(
            errors.SettingsError(file, 0, key_path, first["msg"])
        )


def _value_of(text: str) -> typing.Any:
    """Read a value as TOML, or as a bare string."""
    try:
        return tomllib.loads(f"value = {text}")["value"]
    except tomllib.TOMLDecodeError:
        return text
