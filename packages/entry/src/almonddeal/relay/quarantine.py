"""Quarantine of requests and prompt segments that crash their targets.

A request that crashes a target would crash the next one as well, and with each target
the requests of others are lost. All instances share what they observe: which requests
a target was running when it crashed, and which requests and segments targets survived.
From these records each of them derives the same ones to reject.
"""

import anyio

from almonddeal.announced.evidence import EvidenceStore
from almonddeal.relay.culprits import find_culprits
from almonddeal.relay.survivals import Survivals
from almonddeal.relay.suspects import list_suspects, stands_for_request
from almonddeal_common.clock import wall_ms
from almonddeal_common.codes import (
    PROMPT_QUARANTINED,
    REQUEST_QUARANTINED,
    AlmonddealError,
)
from almonddeal_common.logs import decide, get_logger
from almonddeal_common.wire.gen.ttypes import SegmentEvidence

SOUND_MS = 60_000.0  # for which a segment is not blamed after an engine survived it
# The same for a request. It is shorter, as a new version of a service may crash under a
# request that the one before survived.
REQUEST_SOUND_MS = 5_000.0
# Targets that may crash under one request before it is known to be sound, those that
# have a cause in common counted once. The first one may have crashed by itself.
MAX_CRASHES = 2

log = get_logger("relay")


class Quarantine:
    """Evidence on requests and prompt segments, and those that no target receives.

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
        Requests with all suspects of one of these sets are rejected.
    changed : anyio.Event
        Set, and replaced by a new event, when `culprits` changes.
    """

    __slots__ = (
        "_blamed_ms_by_suspect",
        "_clock_ms",
        "_instance",
        "_request_survivals",
        "_segment_survivals",
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
        self._blamed_ms_by_suspect = {}
        self._request_survivals = Survivals(REQUEST_SOUND_MS)
        self._segment_survivals = Survivals(SOUND_MS)

    def _survivals(self, suspect):
        if stands_for_request(suspect):
            return self._request_survivals
        return self._segment_survivals

    def blocks(self, suspects):
        """Tell whether a request with these suspects is rejected."""
        return self._find_culprit(suspects) is not None

    def _find_culprit(self, suspects):
        for culprit in self.culprits:
            if culprit.issubset(suspects):
                return culprit
        return None

    def check(self, admitted):
        """Reject a request if it, or a segment of its prompt, is in quarantine.

        Parameters
        ----------
        admitted : AdmittedRequest

        Raises
        ------
        AlmonddealError
            `REQUEST_QUARANTINED` or `PROMPT_QUARANTINED`, without a Retry-After time.
        """
        if not self.culprits:
            return
        culprit = self._find_culprit(list_suspects(admitted))
        if culprit is None:
            return
        if any(stands_for_request(suspect) for suspect in culprit):
            raise AlmonddealError(
                REQUEST_QUARANTINED, "targets crashed under the request"
            )
        raise AlmonddealError(
            PROMPT_QUARANTINED, "engines crashed under a segment of the prompt"
        )

    def unproven(self, suspects):
        """Return the suspects that no target is known to have survived recently."""
        now_ms = self._clock_ms()
        return [s for s in suspects if not self._survivals(s).covers(s, now_ms)]

    def record_crash(self, admitted, announcement, has_response):
        """Record that a target crashed before it was known to survive a request.

        Parameters
        ----------
        admitted : AdmittedRequest
        announcement : AnnouncedTarget
            The target.
        has_response : bool
            Whether the target had started its response.

        Returns
        -------
        record : SegmentEvidence or None
            None if the request is known to be sound.
        """
        record = self.make_crash(admitted, announcement, has_response)
        if record is None:
            return None
        decide(
            log,
            "recorded a crash of a target under a request",
            request=record.request,
            target=record.target,
            suspects=record.prefix_hashes,
            has_response=has_response,
        )
        self.merge(record)
        return record

    def make_crash(self, admitted, announcement, has_response):
        """Return the record of a crash without recording it; see `record_crash`."""
        request = admitted.request
        suspects = self.unproven(list_suspects(admitted))
        if not suspects:
            return None
        return SegmentEvidence(
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

    def record_sound(self, suspects):
        """Record that a target survived a request with these suspects."""
        now_ms = self._clock_ms()
        for suspect in suspects:
            self._survivals(suspect).record(suspect, now_ms)
        self._publish_sound(suspects)

    def merge(self, *records):
        """Merge records of this or another instance; known ones change nothing."""
        new_records = [record for record in records if self.evidence.add(record)]
        if not new_records:
            return
        for record in new_records:
            if record.is_sound:
                for suspect in record.prefix_hashes:
                    self._survivals(suspect).record(suspect, record.observed_ms)
        self._update()
        for record in new_records:
            if not record.is_sound:
                self._publish_sound(record.prefix_hashes)

    def _publish_sound(self, suspects):
        """Publish that suspects are sound, for which others blame them for a crash."""
        for suspect in suspects:
            blamed_ms = self._blamed_ms_by_suspect.get(suspect)
            if blamed_ms is None:
                continue
            survivals = self._survivals(suspect)
            if not survivals.covers(suspect, blamed_ms):
                continue
            if self._shared_sound_ms(suspect) >= blamed_ms - survivals.window_ms:
                continue
            sound_ms = int(survivals.last_ms(suspect))
            self.merge(
                SegmentEvidence(
                    key=f"{suspect}/{sound_ms}",
                    instance=self._instance,
                    prefix_hashes=[suspect],
                    is_sound=True,
                    observed_ms=sound_ms,
                )
            )

    def _shared_sound_ms(self, suspect):
        """Return when a target survived a suspect, as all instances know; or 0."""
        return max(
            (
                record.observed_ms
                for record in self.evidence.values()
                if record.is_sound and record.prefix_hashes[0] == suspect
            ),
            default=0,
        )

    def evict_stale(self):
        """Evict old evidence, and with it culprits from the quarantine."""
        if self.evidence.evict_stale():
            self._update()

    def _is_sound(self, suspect, crash):
        return self._survivals(suspect).covers(suspect, crash.observed_ms)

    def _update(self):
        """Derive the state from the evidence."""
        crashes = [record for record in self.evidence.values() if not record.is_sound]
        self._blamed_ms_by_suspect = {}
        for crash in crashes:
            for suspect in crash.prefix_hashes:
                self._blamed_ms_by_suspect[suspect] = max(
                    crash.observed_ms, self._blamed_ms_by_suspect.get(suspect, 0)
                )
        culprits = find_culprits(crashes, self._is_sound)
        if culprits != self.culprits:
            self._replace_culprits(culprits, len(crashes))

    def _replace_culprits(self, culprits, n_crashes):
        decide(
            log,
            "requests and prompt segments in quarantine changed",
            culprits=[sorted(culprit) for culprit in culprits],
            before=[sorted(culprit) for culprit in self.culprits],
            n_crashes=n_crashes,
        )
        self.culprits = culprits
        self.changed.set()
        self.changed = anyio.Event()
