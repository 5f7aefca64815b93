"""What a JSON document costs the process once it is parsed."""

# Most bytes of the objects that come with one delimiter: an element of a list, a list,
# a dictionary with one field, a field's name.
DELIMITER_BYTES = ((b",", 88), (b"[", 88), (b"{", 200), (b":", 100))
# A string holds each character in 4 bytes if one of them needs that.
WIDEST_CHARACTER_BYTES = 4


def parsed_bytes(body):
    """Return a bound on the memory of the parsed document of a body.

    Delimiters within strings count as well, which makes text a little dearer.

    Parameters
    ----------
    body : bytes
    """
    is_narrow = body.isascii() and b"\\u" not in body
    strings = len(body) * (1 if is_narrow else WIDEST_CHARACTER_BYTES)
    return strings + sum(size * body.count(mark) for mark, size in DELIMITER_BYTES)
