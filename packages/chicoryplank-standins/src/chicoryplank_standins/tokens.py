"""Tokens that follow from model, prompt and position.

A caller who knows its own prompt can tell whether an answer is its own and
whole.
"""

import hashlib
from typing import Any

BLOCK_CHARACTERS = 64
DEFAULT_MAX_TOKENS = 16
_TOKEN_DIGITS = 6
# Texts that a relay may take for its own framing when it searches for them.
_AWKWARD_TEXTS = (
    "id: 1 ",
    "data: [DONE] ",
    "\n\n",
    "\ndata: [DONE]\n\n",
    '"}]} ',
    "\u017elu\u0165 ",
    "event: error ",
    "\r\n0\r\n\r\n",
)
_AWKWARD_SHARE = 8


def expected_tokens(
    model: str, prompt: str, max_tokens: int
) -> tuple[str, ...]:
    """Returns the tokens that an engine generates.

    Args:
        model: Name of the model as the request gives it.
        prompt: Prompt as `read_prompt` returns it.
        max_tokens: Number of tokens.

    Returns:
        One text per token; their concatenation is the content of the answer.

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
    if digest[-1] % _AWKWARD_SHARE == 0:
        text += _AWKWARD_TEXTS[digest[-2] % len(_AWKWARD_TEXTS)]
    return text


def read_prompt(body: dict[str, Any]) -> str:
    """Returns the prompt of a completion or chat completion request.

    Raises:
        ValueError: If the body holds neither a prompt nor messages.
    """
    prompt = body.get("prompt")
    if isinstance(prompt, str):
        return prompt
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise ValueError("the body holds neither a prompt nor messages")
    try:
        return "\n".join(
            f"{message['role']}: {message['content']}" for message in messages
        )
    except (KeyError, TypeError) as error:
        raise ValueError("a message needs role and content") from error


def prefix_blocks(prompt: str) -> tuple[str, ...]:
    """Returns digests of the whole blocks of a prompt.

    Each digest covers the prompt up to the end of its block, so two prompts
    share exactly the digests of their common prefix.
    """
    digest = hashlib.sha256()
    blocks = []
    end = len(prompt) - len(prompt) % BLOCK_CHARACTERS
    for start in range(0, end, BLOCK_CHARACTERS):
        digest.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        blocks.append(digest.hexdigest()[:16])
    return tuple(blocks)
