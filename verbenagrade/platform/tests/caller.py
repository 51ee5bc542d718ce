"""Request headers that a caller on the users' platform sends."""

TOKENS_PER_PART = 10


def call_headers(
    call, key, deadline_s, prompt_tokens, output_tokens, parts=()
) -> dict[str, str]:
    headers = {
        "Host": "site.example",
        "Request-Id": call,
        "Deadline-Ms": str(int(deadline_s * 1000)),
        "Token-Count": f"{prompt_tokens},{output_tokens}",
        "Authorization": f"Bearer {key}",
    }
    if parts:
        entries = (f"{part}:{TOKENS_PER_PART}" for part in parts)
        headers["Prompt-Prefix"] = ",".join(entries)
    return headers


def shared_parts(headers) -> tuple[str, ...]:
    """Returns the parts of a prompt that other calls may share, as endpoints do."""
    entries = headers.get("prompt-prefix", "").split(",")
    return tuple(entry.partition(":")[0] for entry in entries[:-1])
