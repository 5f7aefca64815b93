"""Parses the model requests of callers and builds the bodies sent to engines."""

import orjson
import xxhash

from .prefix_index import PREFIX_BLOCK_TOKENS
from .redaction import strip_body

# Estimated bytes of a token. The VM has no tokenizer; the charge is settled later by
# the engine's own count.
BYTES_PER_TOKEN = 4
# Output limit set in requests that have none, so that no engine can generate more
# tokens than were charged.
DEFAULT_MAX_OUTPUT_TOKENS = 256
MAX_OUTPUT_TOKENS = 1_000_000
MAX_CHOICES = 16
# Largest number of prefix hashes; more would improve the routing of long prompts
# little.
MAX_PREFIX_BLOCKS = 64
PREFIX_BLOCK_BYTES = PREFIX_BLOCK_TOKENS * BYTES_PER_TOKEN


class InvalidModelRequest(ValueError):
    """The body is valid JSON but not a valid model request.

    Parameters
    ----------
    message : str
    param : str
        Name of the invalid field.
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
        The caller's body, from which the key was removed.
    """

    __slots__ = (
        "path",
        "document",
        "model",
        "streamed",
        "wants_usage",
        "prompt_tokens",
        "max_output_tokens",
        "_prompt",
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
        self._prompt = _prompt(path, document).encode("utf-8", "replace")
        self.prompt_tokens = max(1, -(-len(self._prompt) // BYTES_PER_TOKEN))
        self.max_output_tokens = self._output_limit()

    def _output_limit(self):
        document = self.document
        choices = _bounded_int(document, "n", 1, MAX_CHOICES)
        name = "max_tokens"
        if document.get("max_completion_tokens") is not None:
            name = "max_completion_tokens"
        limit = _bounded_int(
            document, name, DEFAULT_MAX_OUTPUT_TOKENS, MAX_OUTPUT_TOKENS
        )
        # The limit is charged, so it is always set under the older name too, which is
        # the only one that some engines know.
        document["max_tokens"] = limit
        return limit * choices

    def prefix_hashes(self, model):
        """Hash the leading blocks of the prompt as engines do for their cache events.

        Each hash covers the model's name and all blocks up to its own, so equal
        hashes mean equal prefixes.

        Returns
        -------
        tuple of int
            Shortest prefix first; an incomplete last block is left out.
        """
        prompt = self._prompt
        state = xxhash.xxh64(model.encode() + b"\0")
        hashes = []
        end = min(len(prompt), PREFIX_BLOCK_BYTES * MAX_PREFIX_BLOCKS)
        for start in range(0, end - PREFIX_BLOCK_BYTES + 1, PREFIX_BLOCK_BYTES):
            state.update(prompt[start : start + PREFIX_BLOCK_BYTES])
            hashes.append(state.intdigest())
        return tuple(hashes)

    def engine_body(self, base_model, adapter, text=""):
        """Return the request body to send to an engine.

        Parameters
        ----------
        base_model : str
            Name of the base model.
        adapter : str
            Empty without an adapter.
        text : str
            Text that another engine has already generated.
        """
        document = {**self.document, "model": base_model}
        # These fields are internal, so values from a caller are dropped.
        document.pop("adapter", None)
        document.pop("continue_from", None)
        if adapter:
            document["adapter"] = adapter
        if text:
            document["continue_from"] = text
        return orjson.dumps(document)


def parse_model_request(path, document, key):
    """Parse a model request from the decoded JSON body.

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


def _bounded_int(document, name, default, limit):
    value = document.get(name)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, int) or not 1 <= value <= limit:
        raise InvalidModelRequest(f"{name} must be from 1 to {limit}", name)
    return value


def _prompt(path, document):
    """Return the prompt's text, in the form in which engines count its tokens."""
    if path.endswith("/chat/completions"):
        return _chat_prompt(document.get("messages"))
    prompt = document.get("prompt")
    items = prompt if isinstance(prompt, list) else [prompt]
    if not items:
        raise InvalidModelRequest("prompt must not be empty", "prompt")
    if all(isinstance(item, str) for item in items):
        return "\n".join(items)
    if all(isinstance(item, int) and not isinstance(item, bool) for item in items):
        # Padding makes each token number count as at least one token.
        return " ".join(f"{item:>{BYTES_PER_TOKEN}}" for item in items)
    raise InvalidModelRequest(
        "prompt must be a string, a list of strings or a list of token numbers",
        "prompt",
    )


def _chat_prompt(messages):
    if not isinstance(messages, list) or not messages:
        raise InvalidModelRequest("messages must be a non-empty list", "messages")
    lines = []
    for message in messages:
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise InvalidModelRequest("each message needs a role", "messages")
        lines.append(f"{message['role']}: {_content_text(message.get('content'))}")
    return "\n".join(lines)


def _content_text(content):
    """Return the text of a message's content; other parts count as their JSON."""
    if content is None or isinstance(content, str):
        return content or ""
    if not isinstance(content, list) or not all(isinstance(p, dict) for p in content):
        raise InvalidModelRequest("content must be a string or a list", "messages")
    return "".join(
        part["text"]
        if isinstance(part.get("text"), str)
        else orjson.dumps(part).decode()
        for part in content
    )
