"""Read figure definitions from a settings file in TOML."""

import pathlib
import tomllib

import pydantic
import result

from plantainhook import errors, schema


def load_figures(
    path: pathlib.Path,
) -> result.Result[dict[str, schema.Figure], errors.SettingsError]:
    """Read the ``[figure.NAME]`` tables of a file."""
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        detail = f"cannot read the file: {error.strerror}"
        return result.Err(errors.SettingsError(str(path), 0, "", detail))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return result.Err(errors.SettingsError(str(path), 0, "", str(error)))
    figure_tables = {"figure": data.get("figure", {})}
    try:
        settings = schema.Settings.model_validate(figure_tables)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        key_path = ".".join(str(part) for part in first["loc"])
        return result.Err(
            errors.SettingsError(str(path), 0, key_path, first["msg"])
        )
    return result.Ok(settings.figure)
