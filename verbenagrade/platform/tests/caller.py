"""Request headers that a caller on the users' platform sends."""


def call_headers(call, key, deadline_s, prompt_tokens, output_tokens) -> dict[str, str]:
    return {
        "Host": "site.example",
        "Request-Id": call,
        "Deadline-Ms": str(int(deadline_s * 1000)),
        "Token-Count": f"{prompt_tokens},{output_tokens}",
        "Authorization": f"Bearer {key}",
    }
