"""Timeouts, size limits, roles and entry kinds of the control group."""

LEADER_HEARTBEAT_INTERVAL_MS = 150  # several fit into the shortest election timeout
ELECTION_TIMEOUT_MIN_MS = 600  # ten round trips and a sync on a slow disk
ELECTION_TIMEOUT_MAX_MS = 1200  # a wide range makes split votes rare
FIRST_ELECTION_TIMEOUT_MIN_MS = 200  # after a start; longer than a heartbeat interval
FIRST_ELECTION_TIMEOUT_MAX_MS = 500
TICK_MS = 80  # interval of the election timer, and of retries to a peer
# After a longer stall, messages of the leader may be unread, so the timer restarts.
EVENT_LOOP_STALL_MS = 200
RPC_TIMEOUT_MS = 500  # covers a sync on a disk that is thirty times slower than usual
# Covers a vote, stored with two syncs, behind another write of the voter.
VOTE_TIMEOUT_MS = 1000
# A member that granted a pre-vote refuses others while that candidate may be elected.
PRE_VOTE_PROMISE_MS = 600
# A call takes longer by the time for its bytes on the slowest link and disk.
MIN_LINK_BYTES_PER_MS = 128
MIN_DISK_BYTES_PER_MS = 1024
# After a refused write, a member stands for election without a check of its room.
STORAGE_FULL_BACKOFF_MS = 5000
# A member that started more elections asks to join, in case it was removed.
MAX_ELECTIONS_WITHOUT_LEADER = 2
# A member that leaves says so until it is removed; one that restarts stays.
LEAVING_EXPIRY_MS = 1000
# A process asks to join several times in this time.
JOIN_MEMORY_MS = 1000
MAX_ENTRIES_PER_APPEND = 512
MAX_BYTES_PER_APPEND = 64 * 1024  # takes a tenth of a second on a link of 5 Mbit/s
MIN_MESSAGE_BYTES = 2048  # to a peer on a slow link; passes 5 kB/s in time
# A sync takes milliseconds, on a slow disk 100 ms; large writes may take longer.
DISK_STALL_MS = 1000
STALL_ALLOWANCE_MS = 3000  # a voter that only replies to heartbeats is removed later
# The log is compacted after so many entries, or bytes if the snapshot is not larger.
SNAPSHOT_INTERVAL_ENTRIES = 4096
SNAPSHOT_INTERVAL_BYTES = 4 * 1024 * 1024

FOLLOWER = "follower"
CANDIDATE = "candidate"
LEADER = "leader"

KIND_COMMAND = 1
KIND_NO_OP = 2
KIND_MEMBERS = 3
