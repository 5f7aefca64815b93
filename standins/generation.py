"""Deterministic text of the engine stand-in and its prompt measures.

Tests import this module to compute the whole answer that a prompt must get.
"""

import re

import xxhash

BYTES_PER_TOKEN = 4
BLOCK_TOKENS = 16
BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN
STOP_MARK = re.compile(r"\[stop=(\d+)\]")
MASK = 2**64 - 1


def prompt_of(body):
    """Return the prompt text of a chat or completion request body."""
    if "messages" in body:
        return "\n".join(
            f"{message['role']}: {content_text(message.get('content'))}"
            for message in body["messages"]
        )
    prompt = body["prompt"]
    if isinstance(prompt, str):
        return prompt
    if all(isinstance(item, int) for item in prompt):
        # Token numbers; each one counts as at least one token.
        return " ".join(f"{item:>{BYTES_PER_TOKEN}}" for item in prompt)
    return "\n".join(prompt)


def content_text(content):
    """Return the text of a chat message's content, which may be in parts."""
    if isinstance(content, list):
        return "".join(part.get("text", "") for part in content)
    return content or ""


def prompt_tokens(prompt):
    """Return the number of prompt tokens: one for every four bytes of UTF-8."""
    return max(1, -(-len(prompt.encode()) // BYTES_PER_TOKEN))


def seed_of(prompt):
    """Return the number from which the tokens of the answer follow."""
    return xxhash.xxh64_intdigest(prompt.encode())


def token_text(seed, index):
    """Return token `index` of the answer; it starts with a space."""
    return f" w{((seed ^ (index * 0x9E3779B97F4A7C15)) & MASK) % 99991:05d}"


def answer_tokens(prompt, max_tokens):
    """Return how many tokens the answer has and why it ends there.

    A prompt with ``[stop=N]`` ends by itself after N tokens.
    """
    mark = STOP_MARK.search(prompt)
    if mark and int(mark[1]) < max_tokens:
        return int(mark[1]), "stop"
    return max_tokens, "length"


def answer_text(prompt, max_tokens, start=0):
    """Return the answer to a prompt from token `start` on."""
    seed = seed_of(prompt)
    end, _ = answer_tokens(prompt, max_tokens)
    return "".join(token_text(seed, index) for index in range(start, end))


def continued_tokens(prompt, text):
    """Return the number of tokens in `text`, or None if it starts no answer."""
    count = len(text.split())
    seed = seed_of(prompt)
    expected = "".join(token_text(seed, index) for index in range(count))
    return count if text == expected else None


def block_hashes(model, prompt):
    """Return the hash of each prefix of whole blocks, as cache events name them.

    Hash n covers the model's name, a zero byte and the first n + 1 blocks of 64
    bytes (16 tokens) of the prompt.
    """
    data = prompt.encode()
    state = xxhash.xxh64(model.encode() + b"\0")
    hashes = []
    for end in range(BLOCK_BYTES, len(data) + 1, BLOCK_BYTES):
        state.update(data[end - BLOCK_BYTES : end])
        hashes.append(state.hexdigest())
    return hashes
