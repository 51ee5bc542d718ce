"""Tests of the simulated engine."""

from benchmarks.engines.engine import Engine, EngineCall, EngineParameters
from verbenagrade.state.calls import PromptPart

PARAMETERS = EngineParameters(prefill_chunk_tokens=1000, tokens_per_event=4)
SHARED = PromptPart("shared", 2500)


def new_call(name: str, events: int = 2) -> EngineCall:
    return EngineCall(name, (SHARED, PromptPart(f"own/{name}", 100)), events, 0)


# Guards against times to the first event that lack the tokens of the event.
def test_first_event_comes_with_the_last_of_its_tokens():
    engine = Engine("e", PARAMETERS)
    call = new_call("a")
    engine.submit(call)
    now, ends = 0.0, []
    while not ends or call in engine.running:
        now, _ = engine.step(now)
        ends.append(now)
    prefill_steps = 3
    assert call.first_event_at == ends[prefill_steps + PARAMETERS.tokens_per_event - 1]


# Guards against hits on parts that no engine has read yet.
def test_parts_count_as_cached_only_after_their_prefill():
    engine = Engine("e", PARAMETERS)
    engine.submit(new_call("a"))
    engine.step(0.0)
    engine.submit(new_call("b"))
    engine.step(0.1)
    assert engine.cache_hit_tokens == 0
    for step in range(10):
        engine.step(0.2 + step)
    engine.submit(new_call("c"))
    engine.step(20.0)
    assert engine.cache_hit_tokens == SHARED.tokens
