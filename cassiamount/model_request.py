"""Model requests: reading the caller's body and writing the engine's."""

import orjson
import xxhash

from .redaction import strip_body

# Estimate of the bytes in a token, used because the VM has no tokenizer; the engine's
# own count settles the charge.
BYTES_PER_TOKEN = 4
# Output limit put into requests that state none, so that no engine can generate more
# than was charged.
DEFAULT_MAX_OUTPUT_TOKENS = 256
MAX_OUTPUT_TOKENS = 1_000_000
MAX_CHOICES = 16
# Length of the prompt blocks that are hashed for prefix routing, and how many.
PREFIX_BLOCK_CHARACTERS = 256
MAX_PREFIX_BLOCKS = 64


class InvalidModelRequest(ValueError):
    """The body is valid JSON but no valid model request.

    Parameters
    ----------
    message : str
    param : str
        Name of the field at fault.
    """

    def __init__(self, message, param):
        super().__init__(message)
        self.param = param


class ModelRequest:
    """A parsed model request.

    Parameters
    ----------
    path : str
        ``/v1/chat/completions`` or ``/v1/completions``.
    document : dict
        The caller's body without the key.
    """

    __slots__ = (
        "path",
        "document",
        "model",
        "streamed",
        "wants_usage",
        "prompt_tokens",
        "max_output_tokens",
        "prefix_hashes",
    )

    def __init__(self, path, document):
        self.path = path
        self.document = document
        self.model = document.get("model")
        if not isinstance(self.model, str) or not self.model:
            raise InvalidModelRequest("model must be a non-empty string", "model")
        self.streamed = document.get("stream") or False
        if not isinstance(self.streamed, bool):
            raise InvalidModelRequest("stream must be true or false", "stream")
        options = document.get("stream_options")
        self.wants_usage = (
            isinstance(options, dict) and options.get("include_usage") is True
        )
        prompt, self.prompt_tokens = _prompt(path, document)
        self.max_output_tokens = self._output_limit()
        self.prefix_hashes = prefix_hashes(prompt)

    def _output_limit(self):
        document = self.document
        choices = _count(document, "n", 1, MAX_CHOICES)
        name = "max_tokens"
        if document.get("max_completion_tokens") is not None:
            name = "max_completion_tokens"
        limit = _count(document, name, DEFAULT_MAX_OUTPUT_TOKENS, MAX_OUTPUT_TOKENS)
        # Some engines know only the older name, which is charged for in any case.
        document["max_tokens"] = limit
        return limit * choices

    def engine_body(self, base, adapter, text=""):
        """Return the body for an engine.

        Parameters
        ----------
        base : str
            Name of the base model.
        adapter : str
            Empty without an adapter.
        text : str
            Text that another engine generated already.
        """
        document = {**self.document, "model": base}
        # These fields are the system's own; a caller must not set them.
        document.pop("adapter", None)
        document.pop("continue_from", None)
        if adapter:
            document["adapter"] = adapter
        if text:
            document["continue_from"] = text
        return orjson.dumps(document)


def parse_model_request(path, document, key):
    """Read a model request from its parsed JSON body.

    Parameters
    ----------
    path : str
    document : object
    key : str
        The caller's key, removed from known fields.

    Raises
    ------
    InvalidModelRequest
    """
    if not isinstance(document, dict):
        raise InvalidModelRequest("the body must be a JSON object", None)
    strip_body(document, key)
    return ModelRequest(path, document)


def prefix_hashes(prompt):
    """Hash the leading blocks of a prompt, each hash covering all blocks before it.

    Returns
    -------
    tuple of int
        Shortest prefix first; an incomplete last block is left out.
    """
    state = xxhash.xxh64()
    hashes = []
    end = min(len(prompt), PREFIX_BLOCK_CHARACTERS * MAX_PREFIX_BLOCKS)
    for start in range(0, end - PREFIX_BLOCK_CHARACTERS + 1, PREFIX_BLOCK_CHARACTERS):
        block = prompt[start : start + PREFIX_BLOCK_CHARACTERS]
        state.update(block.encode("utf-8", "surrogatepass"))
        hashes.append(state.intdigest())
    return tuple(hashes)


def count_tokens(text):
    """Estimate the tokens of a text."""
    return -(-len(text.encode("utf-8", "surrogatepass")) // BYTES_PER_TOKEN)


def _count(document, name, default, limit):
    value = document.get(name)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, int) or not 1 <= value <= limit:
        raise InvalidModelRequest(f"{name} must be from 1 to {limit}", name)
    return value


def _prompt(path, document):
    """Return the prompt's text and its estimated tokens."""
    if path.endswith("/chat/completions"):
        return _chat_prompt(document.get("messages"))
    prompt = document.get("prompt")
    items = prompt if isinstance(prompt, list) else [prompt]
    if not items:
        raise InvalidModelRequest("prompt must not be empty", "prompt")
    if all(isinstance(item, str) for item in items):
        text = "\n".join(items)
        return text, max(1, count_tokens(text))
    if all(isinstance(item, int) and not isinstance(item, bool) for item in items):
        return " ".join(map(str, items)), len(items)
    raise InvalidModelRequest(
        "prompt must be a string, a list of strings or a list of token numbers",
        "prompt",
    )


def _chat_prompt(messages):
    if not isinstance(messages, list) or not messages:
        raise InvalidModelRequest("messages must be a non-empty list", "messages")
    parts = []
    for message in messages:
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise InvalidModelRequest("each message needs a role", "messages")
        parts.append(message["role"])
        content = message.get("content")
        if isinstance(content, str):
            parts.append(content)
        elif isinstance(content, list):
            parts.append(orjson.dumps(content).decode())
        elif content is not None:
            raise InvalidModelRequest("content must be a string or a list", "messages")
    text = "\n".join(parts)
    return text, max(1, count_tokens(text))
