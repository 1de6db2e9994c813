"""Request and response formats of the OpenAI-compatible API."""

import math
import time
from typing import Any

import attrs
import orjson

from vanillashore_wire import ErrorCode, RefusalError, Refused, Sampling

CHARS_PER_TOKEN = 4
_NEUTRAL_VALUES: dict[str, tuple[Any, ...]] = {
    "n": (None, 1),
    "best_of": (None, 1),
    "echo": (None, False),
    "suffix": (None, ""),
    "logprobs": (None, False),
    "top_logprobs": (None, 0),
    "logit_bias": (None, {}),
    "tools": (None, []),
    "functions": (None, []),
    "response_format": (None, {"type": "text"}),
}
_ERROR_TYPES = {
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    429: "rate_limit_error",
}


@attrs.frozen
class CompletionBody:
    """A validated request body of ``/v1/completions`` or ``/v1/chat/completions``."""

    model: str
    prompt: str
    max_tokens: int | None
    stream: bool
    include_usage: bool
    sampling: Sampling


@attrs.frozen
class Usage:
    """Token counts of one answer."""

    prompt_tokens: int
    completion_tokens: int

    def to_json(self) -> dict[str, int]:
        """Return the counts as a JSON object."""
        total = self.prompt_tokens + self.completion_tokens
        return attrs.asdict(self) | {"total_tokens": total}


def estimate_tokens(text: str) -> int:
    """Estimate the number of tokens of a prompt; only the engine knows the exact count."""
    return max(1, math.ceil(len(text) / CHARS_PER_TOKEN))


def parse_body(data: bytes, is_chat: bool) -> CompletionBody:
    """Parse and check a request body; the RefusalError raised names the first invalid field."""
    try:
        body = orjson.loads(data)
    except orjson.JSONDecodeError as exc:
        raise RefusalError(
            Refused(ErrorCode.BODY_NOT_JSON, f"the body is not JSON: {exc}")
        ) from exc
    if not isinstance(body, dict):
        raise bad_request("the body must be a JSON object")
    _refuse_unsupported(body)
    stream_options = _field(body, "stream_options", dict, {})
    return CompletionBody(
        model=_required_string(body, "model"),
        prompt=_chat_prompt(body) if is_chat else _prompt(body),
        max_tokens=_max_tokens(body),
        stream=_field(body, "stream", bool, False),
        include_usage=_field(stream_options, "include_usage", bool, False),
        sampling=_sampling(body),
    )


def bad_request(text: str) -> RefusalError:
    """Build the refusal of a malformed request."""
    return RefusalError(Refused(ErrorCode.BAD_REQUEST, text))


def error_body(refused: Refused, request_id: str) -> dict[str, Any]:
    """Build an error body for OpenAI clients, with the extra fields ``ran`` and ``request_id``."""
    status = refused.code.status
    kind = _ERROR_TYPES.get(status, "invalid_request_error" if status < 500 else "server_error")
    return {
        "error": {
            "message": refused.text,
            "type": kind,
            "param": None,
            "code": refused.code.value,
            "ran": refused.ran.value,
            "request_id": request_id,
        }
    }


class AnswerFormatter:
    """Builds complete answers and stream events for one request, as chat or text completion."""

    def __init__(self, request_id: str, model: str, is_chat: bool) -> None:
        self._is_chat = is_chat
        self._kind = "chat.completion" if is_chat else "text_completion"
        self._head = {"id": request_id, "created": int(time.time()), "model": model}
        chunk_kind = "chat.completion.chunk" if is_chat else "text_completion"
        head = orjson.dumps(self._head | {"object": chunk_kind})[:-1]
        opening = b'"delta":{"content":' if is_chat else b'"text":'
        closing = b"}" if is_chat else b""
        self._chunk_start = b"data: " + head + b',"choices":[{"index":0,' + opening
        self._chunk_end = closing + b',"logprobs":null,"finish_reason":null}]}\n\n'

    def complete(self, text: str, finish_reason: str, usage: Usage) -> dict[str, Any]:
        """Build an answer that is not streamed."""
        message = {"role": "assistant", "content": text}
        content = {"message": message} if self._is_chat else {"text": text}
        choice = {"index": 0, **content, "logprobs": None, "finish_reason": finish_reason}
        fields = {"object": self._kind, "choices": [choice], "usage": usage.to_json()}
        return self._head | fields

    def stream_start(self) -> bytes:
        """Build the first event of a stream; empty for text completions."""
        if not self._is_chat:
            return b""
        return self._event({"delta": {"role": "assistant", "content": ""}}, None)

    def chunks(self, texts: list[str]) -> bytes:
        """Build one event for each token."""
        start, end = self._chunk_start, self._chunk_end
        return b"".join([start + orjson.dumps(text) + end for text in texts])

    def stream_end(self, finish_reason: str, usage: Usage | None) -> bytes:
        """Build the last events of a stream, including ``[DONE]``."""
        content: dict[str, Any] = {"delta": {}} if self._is_chat else {"text": ""}
        events = self._event(content, finish_reason)
        if usage is not None:
            kind = "chat.completion.chunk" if self._is_chat else "text_completion"
            events += _sse(self._head | {"object": kind, "choices": [], "usage": usage.to_json()})
        return events + b"data: [DONE]\n\n"

    def error_event(self, refused: Refused) -> bytes:
        """Build the event that ends a stream which failed after its start."""
        return _sse(error_body(refused, self._head["id"]))

    def _event(self, content: dict[str, Any], finish_reason: str | None) -> bytes:
        kind = "chat.completion.chunk" if self._is_chat else "text_completion"
        choice = {"index": 0, **content, "logprobs": None, "finish_reason": finish_reason}
        return _sse(self._head | {"object": kind, "choices": [choice]})


def _sse(body: dict[str, Any]) -> bytes:
    return b"data: " + orjson.dumps(body) + b"\n\n"


def _refuse_unsupported(body: dict[str, Any]) -> None:
    """Refuse options that would change the answer but are not implemented."""
    for name, neutral in _NEUTRAL_VALUES.items():
        if body.get(name) not in neutral:
            raise bad_request(f"{name} is not supported")


def _field(body: dict[str, Any], name: str, kind: Any, default: Any) -> Any:
    value = body.get(name)
    if value is None:
        return default
    is_wrong_bool = isinstance(value, bool) and kind is not bool
    if not isinstance(value, kind) or is_wrong_bool:
        raise bad_request(f"{name} has the wrong type")
    return value


def _required_string(body: dict[str, Any], name: str) -> str:
    value = _field(body, name, str, "")
    if not value:
        raise bad_request(f"{name} is missing or empty")
    return value


def _prompt(body: dict[str, Any]) -> str:
    prompt = body.get("prompt")
    if isinstance(prompt, list) and len(prompt) == 1:
        prompt = prompt[0]
    if not isinstance(prompt, str) or not prompt:
        raise bad_request("prompt must be a single non-empty string")
    return prompt


def _chat_prompt(body: dict[str, Any]) -> str:
    messages = _field(body, "messages", list, [])
    if not messages:
        raise bad_request("messages is missing or empty")
    return "".join(_message_text(i, m) for i, m in enumerate(messages)) + "assistant\n"


def _message_text(index: int, message: Any) -> str:
    if not isinstance(message, dict) or not isinstance(message.get("role"), str):
        raise bad_request(f"messages[{index}] must be an object with a role")
    content = message.get("content")
    if isinstance(content, list):
        content = "".join(_part_text(index, part) for part in content)
    if not isinstance(content, str):
        raise bad_request(f"messages[{index}].content must be a string")
    return f"{message['role']}\n{content}\n"


def _part_text(index: int, part: Any) -> str:
    if isinstance(part, dict) and part.get("type") == "text" and isinstance(part.get("text"), str):
        return part["text"]
    raise bad_request(f"messages[{index}].content may contain only text parts")


def _max_tokens(body: dict[str, Any]) -> int | None:
    newer = _field(body, "max_completion_tokens", int, None)
    value = newer if newer is not None else _field(body, "max_tokens", int, None)
    if value is not None and value < 1:
        raise bad_request("max_tokens must be at least 1")
    return value


def _sampling(body: dict[str, Any]) -> Sampling:
    stop = body.get("stop") or []
    stops = (stop,) if isinstance(stop, str) else tuple(stop) if isinstance(stop, list) else None
    if stops is None or not all(isinstance(item, str) for item in stops):
        raise bad_request("stop must be a string or a list of strings")
    return Sampling(
        temperature=_number(body, "temperature", 0, 2),
        top_p=_number(body, "top_p", 0, 1),
        seed=_field(body, "seed", int, None),
        presence_penalty=_number(body, "presence_penalty", -2, 2),
        frequency_penalty=_number(body, "frequency_penalty", -2, 2),
        stop=stops,
    )


def _number(body: dict[str, Any], name: str, lowest: float, highest: float) -> float | None:
    value = _field(body, name, (int, float), None)
    if value is not None and not lowest <= value <= highest:
        raise bad_request(f"{name} must be between {lowest} and {highest}")
    return value
