"""HTTP client of the operators' interface for the command line."""

import json

import click
import httpx

from almonddeal_common.codes import (
    CODE_BY_NUMBER,
    DOCUMENT_INVALID,
    INTERNAL,
    NOT_REACHED,
    OK,
    AlmonddealError,
)

TIMEOUT_S = 90.0


class OperatorClient:
    """Client of the operators' interface of one entry instance.

    Parameters
    ----------
    url : str
        Base URL of the interface.
    token : str
        Token of the operator.
    as_json : bool
        Whether results are printed as JSON.
    """

    def __init__(self, url, token, as_json):
        self.as_json = as_json
        self._url = url.rstrip("/")
        self._headers = {"authorization": f"Bearer {token}"}

    def request(self, method, path, body=None):
        """Send a request and return the JSON body of the response.

        Parameters
        ----------
        method : str
        path : str
        body : dict, optional
            Sent as JSON.

        Returns
        -------
        result : dict

        Raises
        ------
        AlmonddealError
            The error in the response, or `NOT_REACHED`.
        ExceptionGroup
            The errors of an invalid document.
        """
        try:
            response = httpx.request(
                method,
                self._url + path,
                json=body,
                headers=self._headers,
                timeout=TIMEOUT_S,
                trust_env=False,
            )
        except httpx.HTTPError as error:
            raise AlmonddealError(NOT_REACHED, f"{self._url}: {error}") from None
        return _parse_response(response)

    def events(self, path):
        """Yield the JSON data of each server-sent event of a stream.

        Raises
        ------
        AlmonddealError
            As `request` does.
        """
        try:
            with httpx.stream(
                "GET",
                self._url + path,
                headers=self._headers,
                timeout=httpx.Timeout(TIMEOUT_S, read=None),
                trust_env=False,
            ) as response:
                if response.status_code != 200:
                    response.read()
                    _parse_response(response)
                for line in response.iter_lines():
                    if line.startswith("data: "):
                        yield json.loads(line[6:])
        except httpx.HTTPError as error:
            raise AlmonddealError(NOT_REACHED, f"{self._url}: {error}") from None

    def show(self, result, lines):
        """Print a result as JSON if `as_json` is set, else the lines of text."""
        if self.as_json:
            click.echo(json.dumps(result))
            return
        for line in lines:
            click.echo(line)


def _parse_response(response):
    try:
        body = response.json()
    except ValueError:
        raise AlmonddealError(INTERNAL, f"HTTP {response.status_code}") from None
    if "errors" in body:
        errors = [
            AlmonddealError(DOCUMENT_INVALID, error["message"])
            for error in body["errors"]
        ]
        raise ExceptionGroup("document", errors)
    if "error" in body:
        code = CODE_BY_NUMBER.get(body["error"]["code"], INTERNAL)
        raise AlmonddealError(code, body["error"]["message"])
    if body.get("code", 0) != OK.number:
        detail = body["detail"]
        if body.get("paths"):
            detail += "; differs in " + ", ".join(body["paths"])
        raise AlmonddealError(CODE_BY_NUMBER[body["code"]], detail)
    return body
