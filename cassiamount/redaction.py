"""Removal of the caller's key from everything that leaves the edge."""

from urllib.parse import parse_qsl, quote, unquote_to_bytes, urlencode

REDACTED = "[redacted]"
# Headers that carry credentials by convention; none of them reaches a backend server.
KEY_HEADERS = frozenset(
    {
        b"authorization",
        b"proxy-authorization",
        b"x-api-key",
        b"api-key",
        b"x-auth-token",
        b"cookie",
    }
)
KEY_FIELDS = frozenset({"api_key", "apikey", "api-key", "key", "access_token", "token"})
# A value is removed from a field named above only if it holds the key; a service may
# use a field called "key" for something else.


def strip_headers(headers, key):
    """Return the headers without credentials and without any that contain the key.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Names in lower case.
    key : bytes
        Empty if the caller sent none.
    """
    return [
        (name, value)
        for name, value in headers
        if name not in KEY_HEADERS
        and not (key and (key in value or key in unquote_to_bytes(value)))
    ]


def strip_query(query, key):
    """Return the query string without the known fields that hold the key.

    Parameters
    ----------
    query : str
    key : str
    """
    if not key or not query:
        return query
    fields = parse_qsl(query, keep_blank_values=True)
    kept = [
        (name, value)
        for name, value in fields
        if not (name.lower() in KEY_FIELDS and key in value)
    ]
    # An untouched query keeps the caller's own escapes.
    return query if len(kept) == len(fields) else urlencode(kept, quote_via=quote)


def strip_body(document, key):
    """Remove known top-level fields that hold the key from a parsed JSON body.

    Parameters
    ----------
    document : dict
        Changed in place.
    key : str

    Returns
    -------
    bool
        Whether a field was removed.
    """
    if not key:
        return False
    found = [
        name
        for name, value in document.items()
        if name.lower() in KEY_FIELDS and isinstance(value, str) and key in value
    ]
    for name in found:
        del document[name]
    return bool(found)


def contains_key(text, key):
    """Return whether bytes hold the key, as it is or percent-encoded.

    Parameters
    ----------
    text : bytes
    key : bytes
    """
    if not key:
        return False
    if key in text:
        return True
    # Decoding is repeated because a backend server might decode twice.
    for _ in range(2):
        if b"%" not in text:
            return False
        text = unquote_to_bytes(text)
        if key in text:
            return True
    return False


def value_contains_key(value, key):
    """Return whether any string or field name in parsed JSON holds the key.

    JSON escapes can hide a key from a search of the raw bytes, so this looks at the
    decoded strings.
    """
    if not key:
        return False
    pending = [value]
    while pending:
        item = pending.pop()
        if isinstance(item, str):
            if key in item:
                return True
        elif isinstance(item, dict):
            pending.extend(item)
            pending.extend(item.values())
        elif isinstance(item, list):
            pending.extend(item)
    return False


def redact(text, keys):
    """Return `text` with every key in `keys` replaced."""
    for key in keys:
        if key:
            text = text.replace(key, REDACTED)
    return text
