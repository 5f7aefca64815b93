"""Removal of the caller's API key from whatever leaves the edge."""

from urllib.parse import parse_qsl, quote, unquote_to_bytes, urlencode

REDACTED = "[redacted]"
# Headers that commonly carry credentials; they are never forwarded to backend servers.
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
# Longer texts are decoded in blocks: a text of percent signs takes many times its size.
DECODED_BLOCK_BYTES = 64 << 10
# Bytes by which one byte of a key is written if all of it is percent-encoded twice.
ENCODED_TWICE_BYTES = 9
# A field with one of these names is removed only if its value contains the key, since
# services may use a field such as "key" for something else.


def strip_headers(headers, key):
    """Return the headers except those with credentials or the key.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Names in lower case.
    key : bytes
        Empty if the caller sent no key.
    """
    return [
        (name, value)
        for name, value in headers
        if name not in KEY_HEADERS
        and not (key and (key in value or key in unquote_to_bytes(value)))
    ]


def strip_query(query, key):
    """Return the query string without the `KEY_FIELDS` that contain the key.

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
    # If nothing was removed, the original percent-encoding is preserved.
    return query if len(kept) == len(fields) else urlencode(kept, quote_via=quote)


def strip_body(document, key):
    """Remove top-level `KEY_FIELDS` that contain the key from a JSON body.

    Parameters
    ----------
    document : dict
        The parsed body, modified in place.
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
    """Return whether bytes contain the key, verbatim or percent-encoded.

    Parameters
    ----------
    text : bytes
    key : bytes
    """
    if not key:
        return False
    if key in text:
        return True
    if len(text) > DECODED_BLOCK_BYTES:
        if b"%" not in text:
            return False
        overlap = ENCODED_TWICE_BYTES * len(key)
        step = max(overlap, DECODED_BLOCK_BYTES - overlap)
        return any(
            _contains_encoded_key(text[start : start + step + overlap], key)
            for start in range(0, len(text), step)
        )
    return _contains_encoded_key(text, key)


def _contains_encoded_key(text, key):
    # Decodes twice because a backend server might do so too.
    for _ in range(2):
        if b"%" not in text:
            return False
        text = unquote_to_bytes(text)
        if key in text:
            return True
    return False


def value_contains_key(value, key):
    """Return whether any string or field name in parsed JSON contains the key.

    A search of the raw bytes would miss a key that is written with JSON escapes.
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
    """Return `text` with each occurrence of the keys replaced by `REDACTED`."""
    for key in keys:
        if key:
            text = text.replace(key, REDACTED)
    return text
