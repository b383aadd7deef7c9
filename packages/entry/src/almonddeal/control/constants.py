"""Times, roles and kinds of entries of the control group; times are in ms."""

HEARTBEAT_MS = 150  # several within the shortest election timeout
ELECTION_MIN_MS = 600  # ten round trips and a sync on a slow disk
ELECTION_MAX_MS = 1200  # spread, so that two rarely stand at once
FIRST_ELECTION_MIN_MS = 200  # after a start, when a leader would be heard
FIRST_ELECTION_MAX_MS = 500
TICK_MS = 80
EVENT_LOOP_STALL_MS = 200  # a longer pause of this process says nothing about others
CALL_TIMEOUT_MS = 500  # a sync on a disk that is thirty times slower
PIECE_TIMEOUT_MS = 2000  # one piece on a slow link, and its sync
STORAGE_FULL_PAUSE_MS = 5000  # before a member with a full disk stands again
MAX_LOST_ELECTIONS = 2  # then a member asks whether it still is one
MAX_ENTRIES_A_CALL = 512
MAX_BYTES_A_CALL = 128 * 1024  # a fifth of a second on a slow link
DISK_STALL_MS = 1000  # a sync takes milliseconds, on a slow disk a tenth of a second
DISK_STALL_PAUSE_MS = 5000  # before such a member stands again

FOLLOWER = "follower"
CANDIDATE = "candidate"
LEADER = "leader"

KIND_COMMAND = 1
KIND_BARRIER = 2
KIND_MEMBERS = 3
