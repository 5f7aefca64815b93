"""Search of texts of any size for a key."""

from urllib.parse import quote_from_bytes

import pytest

from cassiamount.redaction import DECODED_BLOCK_BYTES, contains_key

KEY = b"key-of-team-a"
PLAIN = b"".join(b"%%%02x" % byte for byte in KEY)


@pytest.mark.parametrize("written", [KEY, PLAIN, quote_from_bytes(PLAIN).encode()])
@pytest.mark.parametrize("before", [0, 1, 60, 700, 1_300])
def test_key_in_a_large_text_is_found(written, before):
    """Guards against a key that is missed where two decoded blocks meet."""
    text = b"%20" * (DECODED_BLOCK_BYTES // 3)
    text = text[: DECODED_BLOCK_BYTES - before] + written + text
    assert contains_key(text, KEY)
    assert not contains_key(text.replace(written, written[:-1]), KEY)
