import copy
import json
import threading
import time
from signal import Signals

import httpx
from answer_steps import read_to_end, start_reader
from behave import then, when

from almonddeal_common.codes import FORBIDDEN, VERSION_CONFLICT
from almonddeal_tools.documents import sha256_hex
from almonddeal_tools.fleet import READER_TOKEN


def changed_document(context, name):
    document = copy.deepcopy(context.fleet.document)
    document["customers"][name] = {
        "key_sha256": [sha256_hex(name)],
        "models": ["draft"],
    }
    return document


def write_document(context, name, document):
    path = context.fleet.folder / f"{name}.document.json"
    path.write_text(json.dumps(document))
    return str(path)


@when("two operators apply different documents to the same version at once")
def apply_concurrently(context):
    base = str(context.fleet.fetch_status(0)["version"])
    context.results = []

    def apply(number):
        path = write_document(
            context, f"race{number}", changed_document(context, f"new{number}")
        )
        result = context.fleet.run_cli("apply", path, "--base", base, entry=number)
        context.results.append(result)

    threads = [threading.Thread(target=apply, args=(n,)) for n in (0, 1)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@then("one is accepted, the other gets a conflict that names operator and path")
def check_conflict(context):
    (accepted_status, _), (refused_status, text) = sorted(context.results)
    assert (accepted_status, refused_status) == (0, VERSION_CONFLICT.exit_status), (
        context.results
    )
    assert "olu" in text and "/customers/new" in text, text


@when('a change with the id "{change_id}" is applied twice at different entries')
def apply_twice(context, change_id):
    path = write_document(context, "twice", changed_document(context, "twice"))
    context.results = [
        context.fleet.run_cli(
            "--json", "apply", path, "--change-id", change_id, entry=n
        )
        for n in (0, 1)
    ]


@then("both results have the same version")
def check_same_version(context):
    versions = {json.loads(text)["version"] for _, text in context.results}
    assert len(versions) == 1, context.results


@when("a document with 3 errors is applied")
def apply_invalid(context):
    context.version_before = context.fleet.fetch_status(0)["version"]
    document = changed_document(context, "wrong")
    document["customers"]["wrong"]["weight"] = -1
    document["customers"]["wrong"]["colour"] = "red"
    document["models"]["draft"]["version"] = 7
    path = write_document(context, "wrong", document)
    context.result = context.fleet.run_cli("apply", path)


@then("all 3 errors are reported with their paths")
def check_errors(context):
    status, text = context.result
    assert status != 0
    for path in ("$.customers.wrong:", "$.customers.wrong.weight", "$.models.draft"):
        assert path in text, text


@then("the version in force is the same as before")
def check_version(context):
    assert context.fleet.fetch_status(0)["version"] == context.version_before


@then("the audit trail records the refusal")
def check_audit(context):
    status, text = context.fleet.run_cli("--json", "audit")
    result = json.loads(text)
    assert result["chain_broken"] is None
    assert result["records"][-1]["kind"] == "refused", result["records"][-1]


def leader_number(context):
    for number in range(3):
        status = context.fleet.fetch_status(number)
        if status and status["leader"]:
            return int(status["leader"].removeprefix("entry"))
    raise AssertionError("no leader")


@when("the leader is killed")
def kill_leader(context):
    context.killed_entry = leader_number(context)
    context.fleet.process_by_name[f"entry{context.killed_entry}"].kill()


@then("another entry instance accepts a change")
def check_accepted(context):
    path = write_document(context, "after", changed_document(context, "after"))
    other = (context.killed_entry + 1) % 3
    status, text = context.fleet.run_cli("--json", "apply", path, entry=other)
    assert status == 0, text
    context.version = json.loads(text)["version"]


@then("the killed instance has the latest version after a restart")
def check_caught_up(context):
    context.fleet.process_by_name[f"entry{context.killed_entry}"].start()
    context.fleet.wait_until(
        lambda: (
            (context.fleet.fetch_status(context.killed_entry) or {}).get("version")
            == context.version
        ),
        "latest version",
    )


@when("engine {engine:d} is drained at entry {number:d}")
def drain(context, engine, number):
    status, text = context.fleet.run_cli("drain", f"engine{engine}", entry=number)
    assert status == 0, text


@then("callers at all entries get answers and engine {engine:d} gets no new attempts")
def check_no_new_attempts(context, engine):
    time.sleep(1.0)
    before = [r for r in context.fleet.fetch_engine_records() if r["engine"] == engine]
    readers = [
        start_reader(context, context.fleet.caller_urls[n % 3], 20) for n in range(12)
    ]
    for reader in readers:
        read_to_end(context, reader)
    after = [r for r in context.fleet.fetch_engine_records() if r["engine"] == engine]
    assert len(after) == len(before)
    assert all(answer.is_complete for answer in context.answers)


def start_readers(context, n_answers, n_tokens, number=None):
    urls = context.fleet.caller_urls
    context.readers = [
        start_reader(context, urls[n % 3 if number is None else number], n_tokens)
        for n in range(n_answers)
    ]
    for reader in context.readers:
        reader.wait_for_token(5)


@when(
    "{n_answers:d} answers of {n_tokens:d} tokens are requested"
    " and engine {engine:d} is drained meanwhile"
)
def drain_meanwhile(context, n_answers, n_tokens, engine):
    start_readers(context, n_answers, n_tokens)
    drain(context, engine, 0)


@when(
    "{n_answers:d} answers of {n_tokens:d} tokens are requested"
    " and agent {number:d} gets SIGTERM"
)
def stop_agent(context, n_answers, n_tokens, number):
    start_readers(context, n_answers, n_tokens)
    agent = context.fleet.process_by_name[f"agent{number}"]
    agent.terminate()
    assert agent.wait(15) == 0


@when(
    "{n_answers:d} answers of {n_tokens:d} tokens are requested"
    " at entry {number:d} which gets SIGTERM"
)
def stop_entry(context, n_answers, n_tokens, number):
    start_readers(context, n_answers, n_tokens, number)
    entry = context.fleet.process_by_name[f"entry{number}"]
    entry.terminate()
    assert entry.wait(15) == 0
    for reader in context.readers:
        reader.join(5)
        assert reader.answer.finish_reason is not None


# Guards against a signal whose default action ends a process that drains.
@when(
    "{n_answers:d} answers of {n_tokens:d} tokens are requested"
    " at {role:w} {number:d} which gets SIGTERM, then {signal_name:w}"
)
def signal_again(context, n_answers, n_tokens, role, number, signal_name):
    start_readers(context, n_answers, n_tokens, number if role == "entry" else None)
    process = context.fleet.process_by_name[f"{role}{number}"]
    process.terminate()
    time.sleep(0.1)
    process.send_signal(Signals[signal_name])
    assert process.wait(15) == 0


@when("an operator with the role read applies a document")
def apply_as_reader(context):
    path = write_document(context, "reader", context.fleet.document)
    context.result = context.fleet.run_cli("apply", path, token=READER_TOKEN)


@then("the command exits with the status of FORBIDDEN")
def check_forbidden(context):
    assert context.result[0] == FORBIDDEN.exit_status, context.result


def roll_out(context, version):
    document = copy.deepcopy(context.fleet.document)
    document["models"]["draft"]["version"] = version
    context.fleet.document = document
    context.version = version
    context.fleet.apply(document)


@when(
    "{n_answers:d} answers of {n_tokens:d} tokens are requested"
    ' and version "{version}" is rolled out meanwhile'
)
def roll_out_meanwhile(context, n_answers, n_tokens, version):
    start_readers(context, n_answers, n_tokens)
    roll_out(context, version)


@when('version "{version}" is rolled out and the leader is killed meanwhile')
def roll_out_and_kill_leader(context, version):
    roll_out(context, version)
    time.sleep(1.0)
    kill_leader(context)
    time.sleep(1.0)
    context.fleet.process_by_name[f"entry{context.killed_entry}"].start()


def loaded_versions(context):
    status = context.fleet.fetch_status(0) or context.fleet.fetch_status(1)
    return [t["models"] for t in status["targets"] if t["kind"] == "engine"]


@then('every engine has only the version "{version}" within {timeout_s:d} seconds')
def check_versions(context, version, timeout_s):
    context.fleet.wait_until(
        lambda: loaded_versions(context) == [[f"draft {version}"]] * 3,
        f"version {version} as the only one",
        timeout_s,
    )


@then("the audit trail records the steps of the rollout")
def check_rollout_steps(context):
    records = json.loads(context.fleet.run_cli("--json", "audit")[1])["records"]
    steps = [r["detail"] for r in records if r["kind"] == "step"]
    for engine in range(3):
        assert f"load draft {context.version} on engine{engine}" in steps, steps


@then('a new answer uses the version "{version}"')
def check_new_answer(context, version):
    reader = start_reader(context, context.fleet.caller_urls[0], 20)
    reader.answer.version = version
    read_to_end(context, reader)
    assert reader.answer.is_complete, reader.answer.violations()


@then("no engine received an order with a stale fencing number")
def check_fences(context):
    for url in context.fleet.engine_urls:
        fences = [o["fence"] for o in httpx.get(f"{url}/orders").json()]
        assert fences == sorted(fences), fences
