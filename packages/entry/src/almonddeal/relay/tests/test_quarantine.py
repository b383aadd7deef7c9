"""Tests of the quarantine of prompt segments that crash engines, in virtual time.

Pattern: engines crash, some by a prompt segment and some by themselves or with their
failure domain, while requests with many other segments are starting at them.
"""

import random

import pytest

from almonddeal.announced.evidence import MAX_RECORDS, RETENTION_MS
from almonddeal.relay.quarantine import SOUND_MS, Quarantine
from almonddeal.relay.requests import AdmittedRequest, Generation
from almonddeal.relay.tests.fakes import (
    make_announcement,
    make_request,
    make_route,
)
from almonddeal.routing.model import STREAM
from almonddeal_common.clock import monotonic_ms
from almonddeal_common.wire.gen.ttypes import SegmentEvidence

DOMAINS = ("fd1", "fd2", "fd3")
BAD = "bad"


def make_prompt(request_id, *prefix_hashes):
    """Return a request whose prompt has these shared segments."""
    request = make_request(
        10_000.0, Generation(1000, 100, request_id, "last", prefix_hashes)
    )
    request.request_id = request_id
    request.body = request_id.encode()
    return request


def make_quarantine(instance="entry-1"):
    return Quarantine(instance, monotonic_ms)


def crash(quarantine, number, request, domain=None, has_response=True):
    """Record a crash of engine `number` under a request."""
    domain = domain or DOMAINS[number % 3]
    announcement = make_announcement(f"i-{number}", domain)
    admitted = AdmittedRequest(request, make_route(STREAM), None, None)
    quarantine.record_crash(admitted, announcement, has_response)


class TestEvidence:
    def test_segment_of_several_crashing_requests_is_blocked(self, virtual_time):
        quarantine = make_quarantine()
        for number in range(3):
            assert not quarantine.blocks((BAD,))
            crash(quarantine, number, make_prompt(f"r{number}", f"f{number}", BAD))
            virtual_time.now_s += 0.1
        assert quarantine.blocks(("f9", BAD))
        assert not quarantine.blocks(("f1",))

    def test_one_request_does_not_block_its_segments(self, virtual_time):
        quarantine = make_quarantine()
        for number in range(5):
            crash(quarantine, number, make_prompt("r", "first", BAD))
            virtual_time.now_s += 0.1
        assert not quarantine.blocks(("first", BAD))

    def test_domain_that_crashes_as_a_whole_counts_once(self, virtual_time):
        quarantine = make_quarantine()
        for number in range(4):
            crash(quarantine, number, make_prompt(f"r{number}", "shared"), "fd1")
            virtual_time.now_s += 0.2
        assert not quarantine.culprits

    def test_connections_cut_at_the_same_moment_count_once(self):
        quarantine = make_quarantine()
        for number in range(6):
            crash(quarantine, number, make_prompt(f"r{number}", "shared"))
        assert not quarantine.culprits

    def test_requests_that_shared_the_engines_are_not_blamed(self, virtual_time):
        # The neighbours are at more crashes than it takes, but never without BAD.
        quarantine = make_quarantine()
        for number in range(4):
            crash(quarantine, number, make_prompt(f"r{number}", f"f{number}", BAD))
            if number:
                crash(quarantine, number, make_prompt(f"n{number}", "neighbour"))
            virtual_time.now_s += 0.1
        assert quarantine.culprits == [frozenset((BAD,))]

    def test_requests_in_their_prefill_are_not_blamed(self, virtual_time):
        quarantine = make_quarantine()
        for number in range(4):
            prompt = make_prompt(f"n{number}", "neighbour")
            crash(quarantine, number, prompt, has_response=False)
            crash(quarantine, number, make_prompt(f"r{number}", BAD))
            virtual_time.now_s += 0.1
        assert quarantine.culprits == [frozenset((BAD,))]

    def test_prompts_that_crash_engines_in_their_prefill_are_found(self, virtual_time):
        quarantine = make_quarantine()
        for number in range(3):
            prompt = make_prompt(f"r{number}", f"f{number}", BAD)
            crash(quarantine, number, prompt, has_response=False)
            virtual_time.now_s += 0.1
        assert quarantine.culprits == [frozenset((BAD,))]

    def test_segments_that_only_occur_together_are_blocked_together(self, virtual_time):
        quarantine = make_quarantine()
        for number in range(3):
            crash(quarantine, number, make_prompt(f"r{number}", "first", BAD))
            virtual_time.now_s += 0.1
        assert quarantine.blocks(("first", BAD))
        assert not quarantine.blocks(("first",))
        assert not quarantine.blocks((BAD,))
        crash(quarantine, 3, make_prompt("r3", BAD))
        assert quarantine.culprits == [frozenset((BAD,))]

    def test_survived_segment_is_not_blamed(self, virtual_time):
        quarantine = make_quarantine()
        quarantine.record_sound(("first",))
        for number in range(6):
            crash(quarantine, number, make_prompt(f"r{number}", "first"))
            virtual_time.now_s += 0.1
        assert not quarantine.culprits
        records = quarantine.evidence.values()
        assert not any("first" in record.prefix_hashes for record in records)

    def test_survival_is_forgotten_after_a_time(self, virtual_time):
        quarantine = make_quarantine()
        quarantine.record_sound((BAD,))
        virtual_time.now_s += SOUND_MS / 1000 + 1
        for number in range(3):
            crash(quarantine, number, make_prompt(f"r{number}", BAD))
            virtual_time.now_s += 0.1
        assert quarantine.blocks((BAD,))

    def test_survival_releases_a_segment(self, virtual_time):
        quarantine = make_quarantine()
        for number in range(3):
            crash(quarantine, number, make_prompt(f"r{number}", "first"))
            virtual_time.now_s += 0.1
        assert quarantine.blocks(("first",))
        quarantine.record_sound(("first",))
        assert not quarantine.culprits

    def test_quarantine_ends_after_a_time(self, virtual_time):
        quarantine = make_quarantine()
        for number in range(3):
            crash(quarantine, number, make_prompt(f"r{number}", BAD))
            virtual_time.now_s += 0.1
        virtual_time.now_s += RETENTION_MS / 1000
        quarantine.evict_stale()
        assert not quarantine.culprits
        assert not quarantine.evidence.values()

    def test_evidence_is_bounded(self):
        quarantine = make_quarantine()
        for number in range(MAX_RECORDS + 50):
            crash(quarantine, number, make_prompt(f"r{number}", f"f{number}"))
        assert len(quarantine.evidence) == MAX_RECORDS


class TestSharedEvidence:
    """Pattern: each instance sees a part of the crashes, and hears of the rest."""

    def test_crashes_seen_by_several_instances_add_up(self, virtual_time):
        instances = [make_quarantine(f"entry-{n}") for n in range(3)]
        for number, quarantine in enumerate(instances):
            crash(quarantine, number, make_prompt(f"r{number}", f"f{number}", BAD))
            virtual_time.now_s += 0.1
        self.exchange(instances)
        assert all(q.culprits == [frozenset((BAD,))] for q in instances)

    def test_survival_seen_elsewhere_clears_a_segment(self, virtual_time):
        instances = [make_quarantine(f"entry-{n}") for n in range(2)]
        instances[1].record_sound(("first",))
        for number in range(3):
            crash(instances[0], number, make_prompt(f"r{number}", "first"))
            virtual_time.now_s += 0.1
        assert instances[0].blocks(("first",))
        self.exchange(instances)
        assert not any(quarantine.culprits for quarantine in instances)

    def test_survival_seen_elsewhere_after_the_crashes_clears_a_segment(
        self, virtual_time
    ):
        instances = [make_quarantine(f"entry-{n}") for n in range(2)]
        for number in range(3):
            crash(instances[0], number, make_prompt(f"r{number}", "first"))
            virtual_time.now_s += 0.1
        self.exchange(instances)
        assert all(quarantine.blocks(("first",)) for quarantine in instances)
        instances[1].record_sound(("first",))
        self.exchange(instances)
        assert not any(quarantine.culprits for quarantine in instances)

    @pytest.mark.parametrize("seed", range(20))
    def test_order_and_repetition_of_records_do_not_matter(self, virtual_time, seed):
        rng = random.Random(seed)
        hashes = [f"f{number}" for number in range(6)]
        records = [
            SegmentEvidence(
                key=str(number),
                instance="entry-2",
                prefix_hashes=rng.sample(hashes, 1 if rng.random() < 0.2 else 2),
                is_sound=False,
                observed_ms=1_000_000 + rng.randrange(20_000),
                request=f"r{rng.randrange(25)}",
                target=f"i-{rng.randrange(20)}",
                born_ms=1,
                failure_domain=rng.choice(DOMAINS),
                has_response=rng.random() < 0.7,
            )
            for number in range(40)
        ]
        for record in rng.sample(records, 3):
            record.is_sound = True
            record.prefix_hashes = record.prefix_hashes[:1]
        in_order, shuffled = make_quarantine(), make_quarantine("entry-3")
        for record in records:
            in_order.merge(record)
        for record in rng.sample(records * 2, 2 * len(records)):
            shuffled.merge(record)
        assert in_order.culprits == shuffled.culprits

    def exchange(self, instances):
        """Deliver all records to all instances until none is new."""
        for _ in range(3):
            records = [
                r for quarantine in instances for r in quarantine.evidence.values()
            ]
            for quarantine in instances:
                for record in records:
                    quarantine.merge(record)
