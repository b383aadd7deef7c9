"""Quarantine of prompt segments that crash the engines.

A request whose prompt crashes an engine would crash the next one as well, and with each
engine the runs of others are lost. All instances share what they observe: which
requests were starting when an engine crashed, and which segments an engine survived.
From these records each of them derives the same segments to reject.
"""

from collections import OrderedDict

import anyio

from almonddeal.announced.evidence import EvidenceStore
from almonddeal.relay.culprits import find_culprits
from almonddeal_common.clock import wall_ms
from almonddeal_common.codes import PROMPT_QUARANTINED, AlmonddealError
from almonddeal_common.logs import decide, get_logger
from almonddeal_common.wire.gen.ttypes import SegmentEvidence

# A crash is not blamed on a segment that an engine survived this shortly before.
SOUND_MS = 60_000.0
MAX_SOUND_HASHES = 10_000

log = get_logger("relay")


class Quarantine:
    """Evidence on prompt segments, and those that no engine receives.

    Parameters
    ----------
    instance : str
    clock_ms : callable
        Returns the time in ms on a clock that all instances roughly share.

    Attributes
    ----------
    evidence : EvidenceStore
        Records of all instances; those of this one are published.
    culprits : list of frozenset of str
        Prompts with all segments of one of these sets are rejected.
    changed : anyio.Event
        Set, and replaced by a new event, when `culprits` changes.
    """

    __slots__ = (
        "_blamed_ms_by_hash",
        "_clock_ms",
        "_instance",
        "_sound_ms_by_hash",
        "changed",
        "culprits",
        "evidence",
    )

    def __init__(self, instance, clock_ms=wall_ms):
        self.evidence = EvidenceStore()
        self.culprits = []
        self.changed = anyio.Event()
        self._instance = instance
        self._clock_ms = clock_ms
        self._blamed_ms_by_hash = {}
        self._sound_ms_by_hash = OrderedDict()

    def blocks(self, prefix_hashes):
        """Tell whether a prompt with these segments is rejected."""
        return any(culprit.issubset(prefix_hashes) for culprit in self.culprits)

    def check(self, request):
        """Reject a request whose prompt is in quarantine.

        Parameters
        ----------
        request : CallerRequest

        Raises
        ------
        AlmonddealError
            `PROMPT_QUARANTINED`, without a Retry-After time.
        """
        if self.blocks(shared_prefix_hashes(request)):
            raise AlmonddealError(
                PROMPT_QUARANTINED, "engines crashed under a segment of the prompt"
            )

    def suspects(self, prefix_hashes):
        """Return the segments that no engine is known to have survived recently."""
        start_ms = self._clock_ms() - SOUND_MS
        return [
            prefix_hash
            for prefix_hash in prefix_hashes
            if self._sound_ms_by_hash.get(prefix_hash, 0.0) < start_ms
        ]

    def record_crash(self, request, announcement, has_response):
        """Record that an engine crashed before it was known to survive a request.

        Parameters
        ----------
        request : CallerRequest
        announcement : AnnouncedTarget
            The engine.
        has_response : bool
            Whether the engine had started its response.
        """
        suspects = self.suspects(shared_prefix_hashes(request))
        if not suspects:
            return
        record = SegmentEvidence(
            key=f"{request.request_id}/{announcement.target}/{announcement.born_ms}",
            instance=self._instance,
            prefix_hashes=suspects,
            is_sound=False,
            observed_ms=int(self._clock_ms()),
            request=request.request_id,
            target=announcement.target,
            born_ms=announcement.born_ms,
            failure_domain=announcement.failure_domain,
            has_response=has_response,
        )
        decide(
            log,
            "recorded an engine crash under a prompt",
            request=request.request_id,
            target=announcement.target,
            prefixes=suspects,
            has_response=has_response,
        )
        self.merge(record)

    def record_sound(self, prefix_hashes):
        """Record that an engine survived a prompt with these segments."""
        now_ms = self._clock_ms()
        for prefix_hash in prefix_hashes:
            self._mark_sound(prefix_hash, now_ms)
        self._publish_sound(prefix_hashes)

    def _mark_sound(self, prefix_hash, now_ms):
        self._sound_ms_by_hash[prefix_hash] = max(
            now_ms, self._sound_ms_by_hash.get(prefix_hash, 0.0)
        )
        self._sound_ms_by_hash.move_to_end(prefix_hash)
        if len(self._sound_ms_by_hash) > MAX_SOUND_HASHES:
            self._sound_ms_by_hash.popitem(last=False)

    def merge(self, record):
        """Merge a record of this or another instance; known ones change nothing."""
        if not self.evidence.add(record):
            return
        if record.is_sound:
            for prefix_hash in record.prefix_hashes:
                self._mark_sound(prefix_hash, record.observed_ms)
        self._update()
        if not record.is_sound:
            self._publish_sound(record.prefix_hashes)

    def _publish_sound(self, prefix_hashes):
        """Publish that segments are sound, for which others blame them for a crash."""
        for prefix_hash in prefix_hashes:
            blamed_ms = self._blamed_ms_by_hash.get(prefix_hash)
            sound_ms = int(self._sound_ms_by_hash.get(prefix_hash, 0.0))
            if blamed_ms is None or sound_ms < blamed_ms - SOUND_MS:
                continue
            if self._shared_sound_ms(prefix_hash) >= blamed_ms - SOUND_MS:
                continue
            self.merge(
                SegmentEvidence(
                    key=f"{prefix_hash}/{sound_ms}",
                    instance=self._instance,
                    prefix_hashes=[prefix_hash],
                    is_sound=True,
                    observed_ms=sound_ms,
                )
            )

    def _shared_sound_ms(self, prefix_hash):
        """Return when an engine survived a segment, as all instances know; or 0."""
        return max(
            (
                record.observed_ms
                for record in self.evidence.values()
                if record.is_sound and record.prefix_hashes[0] == prefix_hash
            ),
            default=0,
        )

    def evict_stale(self):
        """Evict old evidence, and with it segments from the quarantine."""
        if self.evidence.evict_stale():
            self._update()

    def _is_sound(self, prefix_hash, crash):
        sound_ms = self._sound_ms_by_hash.get(prefix_hash, 0.0)
        return sound_ms >= crash.observed_ms - SOUND_MS

    def _update(self):
        """Derive the state from the evidence."""
        crashes = [record for record in self.evidence.values() if not record.is_sound]
        self._blamed_ms_by_hash = {}
        for crash in crashes:
            for prefix_hash in crash.prefix_hashes:
                self._blamed_ms_by_hash[prefix_hash] = max(
                    crash.observed_ms, self._blamed_ms_by_hash.get(prefix_hash, 0)
                )
        culprits = find_culprits(crashes, self._is_sound)
        if culprits != self.culprits:
            self._replace_culprits(culprits, len(crashes))

    def _replace_culprits(self, culprits, n_crashes):
        decide(
            log,
            "prompt segments in quarantine changed",
            culprits=[sorted(culprit) for culprit in culprits],
            before=[sorted(culprit) for culprit in self.culprits],
            n_crashes=n_crashes,
        )
        self.culprits = culprits
        self.changed.set()
        self.changed = anyio.Event()


def shared_prefix_hashes(request):
    """Return the hashes of the shared segments of a `CallerRequest`, as a tuple."""
    generation = request.generation
    return () if generation is None else generation.shared_prefix_hashes
