"""Tests of the OpenAPI document."""

import pathlib
import typing

import testtools

from plantainhook import callerapi, openapi

DOCUMENT: typing.Final = (
    pathlib.Path(__file__).parent.parent / "docs" / "openapi.json"
)


class OpenapiTest(testtools.TestCase):
    """Compare the OpenAPI document with the code."""

    def test_file_is_current(self) -> None:
        """Guard against a documented interface that differs from the code."""
        self.assertEqual(
            openapi.document_text(), DOCUMENT.read_text(encoding="utf-8")
        )

    def test_every_refusal_status_is_described(self) -> None:
        """Guard against a refusal with a status that is not documented."""
        self.assertEqual(
            set(callerapi.HTTP_STATUS.values()), set(openapi.REFUSAL_TEXTS)
        )
