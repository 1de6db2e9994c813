import pytest

from vanillashore_schema import FindingsError, check_configuration


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
def test_findings_name_line_key_and_hint(text: str, line: int, key: str, words: str) -> None:
    with pytest.raises(FindingsError) as caught:
        check_configuration("fleet.toml", text)
    matching = [f for f in caught.value.findings if f.line == line and words in f.text]
    assert matching
    assert matching[0].key.endswith(key)
