import threading
import time

import httpx
from behave import then, when

from almonddeal_tools.caller import make_headers
from almonddeal_tools.documents import KEY_BY_CUSTOMER

KEY = KEY_BY_CUSTOMER["tujenge"]


def send(context, number, key, body="40 badges"):
    headers = make_headers(KEY)
    if key:
        headers["idempotency-key"] = key
    url = f"{context.fleet.caller_urls[number]}/services/badges/orders"
    try:
        response = httpx.post(
            url, content=body, headers=headers, timeout=20, trust_env=False
        )
    except httpx.HTTPError:
        return
    context.responses.append((response.status_code, response.text, response))


def wait_for_execution(context, key):
    deadline = time.monotonic() + 5
    while time.monotonic() < deadline:
        if any(r["key"] == key for r in context.fleet.read_executions()):
            return
        time.sleep(0.002)


@when('the order "{key}" is sent at entries {first:d} and {second:d} at once')
def send_at_once(context, key, first, second):
    threads = [
        threading.Thread(target=send, args=(context, number, key))
        for number in (first, second)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@when('the order "{key}" is sent at entry {number:d}')
def send_one(context, key, number):
    send(context, number, key)


@when('the order "{key}" is sent at entry {number:d} with another body')
def send_other_body(context, key, number):
    send(context, number, key, "41 badges")


@when("an order without a key is sent at entry {number:d}")
def send_without_key(context, number):
    send(context, number, None)


@when('the order "{key}" is sent at entry {number:d} which is killed meanwhile')
def send_and_kill_entry(context, key, number):
    thread = threading.Thread(target=send, args=(context, number, key))
    thread.start()
    wait_for_execution(context, key)
    context.fleet.process_by_name[f"entry{number}"].kill()
    thread.join()


@when('the order "{key}" is sent at entry {number:d} and its agent is killed meanwhile')
def send_and_kill_agent(context, key, number):
    thread = threading.Thread(target=send, args=(context, number, key))
    thread.start()
    wait_for_execution(context, key)
    agent = context.fleet.process_by_name["agent-badges0"]
    agent.kill()
    thread.join()
    agent.start()


@when("a lookup is sent at entry {number:d}")
def look_up(context, number):
    url = f"{context.fleet.caller_urls[number]}/services/badges/status/7"
    response = httpx.get(url, headers=make_headers(KEY), timeout=20, trust_env=False)
    context.responses.append((response.status_code, response.text, response))


@then('the service executed the order "{key}" {count}')
def check_execution_count(context, key, count):
    expected = {"never": 0, "once": 1}[count]
    executed = [r for r in context.fleet.read_executions() if r["key"] == key]
    assert len(executed) == expected, (executed, context.responses)


@then("all callers got the same response")
def check_same_response(context):
    responses = {(status, text) for status, text, _ in context.responses}
    assert len(context.responses) >= 2 and len(responses) == 1, context.responses
    assert context.responses[0][0] == 200


@then("the last response has the code {name} and was_run {was_run}")
def check_code(context, name, was_run):
    error = context.responses[-1][2].json()["error"]
    assert (error["name"], error["was_run"]) == (name, was_run), error


@then("the last response is that of the order or says that its outcome is unknown")
def check_outcome(context):
    status, _, response = context.responses[-1]
    if status != 200:
        assert response.json()["error"]["name"] == "ORDER_OUTCOME_UNKNOWN"


@then("the last response has the status {status:d}")
def check_status(context, status):
    assert context.responses[-1][0] == status, context.responses[-1]
