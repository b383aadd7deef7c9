import time

import httpx
from behave import given, when


@given("a fleet")
def start_fleet(context):
    context.fleet = context.feature_fleet.get()
    for process in context.fleet.process_by_name.values():
        if process.is_running:
            process.resume()
        else:
            process.start()
    context.fleet.wait_until(context.fleet.all_ready, "ready fleet")
    version = context.fleet.fetch_status(0)["version"]
    if context.fleet.fetch_status(0)["targets"] and version > 1:
        context.fleet.apply(context.fleet.document)


@given("entry {number:d} is paused")
def pause_entry(context, number):
    context.fleet.process_by_name[f"entry{number}"].pause()


@when("entry {number:d} is resumed")
def resume_entry(context, number):
    time.sleep(1.0)
    context.fleet.process_by_name[f"entry{number}"].resume()


@given("the service is killed")
def kill_service(context):
    context.fleet.process_by_name["badges0"].kill()


def is_listening(fleet):
    url = f"{fleet.service_urls[0]}/status/0"
    try:
        return httpx.get(url, trust_env=False).status_code == 200
    except httpx.HTTPError:
        return False


@given("the service is restarted")
def start_service(context):
    context.fleet.process_by_name["badges0"].start()
    context.fleet.wait_until(lambda: is_listening(context.fleet), "service")
