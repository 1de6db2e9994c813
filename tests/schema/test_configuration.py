import pytest

from vanillashore_schema import FindingsError, Severity, check_configuration


@pytest.mark.parametrize(
    ("text", "line", "key", "words"),
    [
        ('[[workspace]]\nnam = "a"', 2, "workspace[0].nam", 'did you mean "name"?'),
        ('[[workspace]]\nname = "a"\nrate_tokens_per_s = "x"', 3, "rate_tokens_per_s", "a number"),
        ('[[model]]\nname = "a"\n[[model]]\nname = "a"', 4, "model[1].name", "repeats 'a'"),
        ('[[endpoint]]\nvm = "v"\nrole = "decod"', 3, "endpoint[0].role", 'mean "decode"?'),
        ('[[endpoint]]\nvm = "v"\nrole = "decode"\nmodel = "m"', 4, "model", "not declared"),
        ("[[workspace", 0, "", "not TOML"),
    ],
)
def test_findings_give_line_key_and_hint(text: str, line: int, key: str, words: str) -> None:
    with pytest.raises(FindingsError) as caught:
        check_configuration("fleet.toml", text)
    matching = [f for f in caught.value.findings if f.line == line and words in f.text]
    assert matching
    assert matching[0].key.endswith(key)


UNUSABLE_ROWS = """[[workspace]]
name = "w"
rate_tokens_per_s = 1
burst_tokens = 1
[[model]]
name = "m"
[[service]]
name = "s"
"""


def test_unusable_rows_give_warnings() -> None:
    _, warnings = check_configuration("fleet.toml", UNUSABLE_ROWS)
    assert [(w.line, w.severity, w.key, w.text.partition(";")[0]) for w in warnings] == [
        (6, Severity.WARNING, "model[0].name", "has no prefill endpoint"),
        (6, Severity.WARNING, "model[0].name", "has no decode endpoint"),
        (8, Severity.WARNING, "service[0].name", "has no endpoint"),
        (2, Severity.WARNING, "workspace[0].name", "has no key"),
    ]
