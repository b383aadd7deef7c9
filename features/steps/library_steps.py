import json

import openai
from behave import then, when

from almonddeal_tools.chain import digest_request, first_invalid_index, parse_tokens
from almonddeal_tools.documents import KEY_BY_CUSTOMER

N_TOKENS = 40
CHAT_MESSAGES = [{"role": "user", "content": "hello"}]


def make_client(context, key=KEY_BY_CUSTOMER["tujenge"]):
    url = context.fleet.caller_urls[0] + "/v1"
    return openai.OpenAI(api_key=key, base_url=url, max_retries=0)


@when("the client library requests a completion, a chat completion and a stream")
def request_with_library(context):
    client = make_client(context)
    completion = client.completions.create(
        model="draft", prompt="hi", max_tokens=N_TOKENS
    )
    chat = client.chat.completions.create(
        model="draft", messages=CHAT_MESSAGES, max_tokens=N_TOKENS
    )
    stream = client.chat.completions.create(
        model="draft", messages=CHAT_MESSAGES, max_tokens=N_TOKENS, stream=True
    )
    chunks = [chunk.choices[0].delta.content or "" for chunk in stream]
    context.texts = [
        ("hi", completion.choices[0].text),
        ("user: hello", chat.choices[0].message.content),
        ("user: hello", "".join(chunks)),
    ]


@then("each of the three answers is complete")
def check_texts(context):
    for prompt, text in context.texts:
        tokens = parse_tokens(text)
        digest = digest_request("draft", "v1", prompt, json.dumps({}))
        assert len(tokens) == N_TOKENS
        assert first_invalid_index(digest, tokens) is None


@then("the client library raises distinct classes for a wrong key and an unknown model")
def check_errors(context):
    for key, model, expected in (
        ("wrong", "draft", openai.AuthenticationError),
        (KEY_BY_CUSTOMER["tujenge"], "none", openai.NotFoundError),
    ):
        try:
            make_client(context, key).completions.create(model=model, prompt="hi")
        except expected as error:
            assert error.body["was_run"] == "no", error.body
        else:
            raise AssertionError(f"no {expected.__name__}")
