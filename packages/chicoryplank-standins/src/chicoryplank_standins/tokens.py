"""Deterministic tokens, derived from model, prompt and position.

A client can compute the tokens from its own prompt, and so verify that a
response is complete and belongs to its request.
"""

import hashlib
from typing import Any

BLOCK_CHARACTERS = 64
DEFAULT_MAX_TOKENS = 16
_TOKEN_DIGITS = 6
# On average, one in _FRAMING_TEXT_PERIOD tokens contains text that a proxy
# could mistake for message framing if it searched the payload for delimiters.
_FRAMING_TEXTS = (
    "id: 1 ",
    "data: [DONE] ",
    "\n\n",
    "\ndata: [DONE]\n\n",
    '"}]} ',
    "\u017elu\u0165 ",
    "event: error ",
    "\r\n0\r\n\r\n",
)
_FRAMING_TEXT_PERIOD = 8


def expected_tokens(
    model: str, prompt: str, max_tokens: int
) -> tuple[str, ...]:
    """Returns the tokens that an engine generates.

    Args:
        model: Name of the model in the request.
        prompt: Prompt as returned by `parse_prompt`.
        max_tokens: Number of tokens.

    Returns:
        One text per token; their concatenation is the completion.

    Example:
        >>> len(expected_tokens("m", "hello", 3))
        3
    """
    seed = hashlib.sha256(f"{model}\0{prompt}".encode())
    tokens = []
    for position in range(max_tokens):
        digest = seed.copy()
        digest.update(position.to_bytes(4, "big"))
        tokens.append(_make_token(digest.digest()))
    return tuple(tokens)


def _make_token(digest: bytes) -> str:
    text = digest.hex()[:_TOKEN_DIGITS] + " "
    if digest[-1] % _FRAMING_TEXT_PERIOD == 0:
        text += _FRAMING_TEXTS[digest[-2] % len(_FRAMING_TEXTS)]
    return text


def parse_prompt(body: dict[str, Any]) -> str:
    """Returns the prompt of a completion or chat completion request.

    Raises:
        ValueError: If the body contains neither a prompt nor valid messages.
    """
    prompt = body.get("prompt")
    if isinstance(prompt, str):
        return prompt
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise ValueError("the body contains neither a prompt nor messages")
    try:
        return "\n".join(
            f"{message['role']}: {message['content']}" for message in messages
        )
    except (KeyError, TypeError) as error:
        raise ValueError("a message must have a role and content") from error


def hash_prefix_blocks(prompt: str) -> tuple[str, ...]:
    """Returns the prefix digests of the full blocks of a prompt.

    Each digest covers the prompt from its start to the end of the block, so two
    prompts share exactly the digests of the full blocks of their common prefix.
    """
    digest = hashlib.sha256()
    blocks = []
    end = len(prompt) - len(prompt) % BLOCK_CHARACTERS
    for start in range(0, end, BLOCK_CHARACTERS):
        digest.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        blocks.append(digest.hexdigest()[:16])
    return tuple(blocks)
