// Messages between the processes of almonddeal.
//
// Two releases run side by side during every upgrade. Fields are only ever added, with
// a new number and optional or with a default; numbers are never used again. A reader
// skips fields that it does not know. PROTOCOL_VERSION rises only for a change that an
// older reader would misread; Hello carries the lowest version that a process accepts.
namespace py almonddeal_common.wire.gen

const i32 PROTOCOL_VERSION = 1

enum Phase { CALL = 1, REPLY = 2, ITEM = 3, FAULT = 4, CANCEL = 5, NOTICE = 6 }

struct Fault { 1: i32 code, 2: string detail }
struct Ping { 1: i64 sent_us }
struct Ok { }

struct Hello {
  1: i32 protocol_version
  2: i32 lowest_version
  3: string role
  4: string instance
  5: i64 incarnation
  6: string failure_domain
}

// ---- targets -------------------------------------------------------------------
struct ModelState { 1: string model, 2: string version, 3: list<string> adapters }
struct Load {
  1: i32 n_running, 2: i32 n_waiting, 3: i32 n_slots, 4: i64 free_tokens
  5: double token_ms, 6: i64 age_ms
}
struct TargetState {
  1: string target
  2: string instance
  3: i64 incarnation
  4: string failure_domain
  5: string host
  6: i32 port
  7: string kind
  8: string service_name
  9: map<string, string> labels
  10: list<ModelState> models
  11: Load load
  12: bool stopping
  13: i64 sequence
  14: i64 document_version
  15: i32 n_in_flight
  16: i64 cache_epoch
  17: list<binary> evicted_keys
  18: string role
}
struct Announce { 1: TargetState state, 2: i64 document_version }
struct AnnounceReply {
  1: i64 document_version
  2: i64 fresh_age_ms
  3: bool leaving
  4: i64 lease_ms
  5: bool has_document
  6: i64 fence
}
// An order to a target. Fencing numbers grow with every order and every new leader.
struct TargetOrder {
  1: i64 fence, 2: string kind, 3: string model, 4: string version, 5: string role
}
struct PeerDigest {
  1: string instance
  2: i64 document_version
  3: list<TargetState> targets
  4: map<string, i32> n_streams_by_customer
  5: list<ModelState> versions_in_use
  6: list<string> live_entries
}

// ---- answers -------------------------------------------------------------------
struct AnswerSpec {
  1: string request
  2: string customer
  3: string model
  4: string version
  5: string adapter
  6: string prompt
  7: string settings_json
  8: i32 max_tokens
  9: i64 created_ms
  10: string route
}
struct StartAttempt {
  1: AnswerSpec spec
  2: i32 attempt
  3: list<i32> prefix
  4: i32 priority
  5: bool prime
  6: binary cache_key
}
struct AttemptChunk {
  1: i32 attempt
  2: i32 index
  3: list<i32> tokens
  4: list<string> texts
  5: string finish_reason
}
struct AttemptEnd { 1: i32 attempt, 2: string finish_reason }

struct Append {
  1: string request
  2: i64 epoch
  3: i32 index
  4: list<i32> tokens
  5: list<string> texts
  6: string finish_reason
  7: AnswerSpec spec
  8: list<string> holders
  9: i32 write_quorum
  10: i32 n_attempts
  11: i32 end_code
}
struct AppendResult {
  1: string request, 2: i64 epoch, 3: i32 length, 4: i32 code, 5: bool sealed
}
struct AppendBatch { 1: list<Append> appends }
struct AppendBatchReply { 1: list<AppendResult> results }
struct Fence { 1: string request, 2: i64 epoch, 3: bool only_read }
struct FenceReply {
  1: i32 code
  2: i64 promised_epoch
  3: bool found
  4: i64 accepted_epoch
  5: AnswerSpec spec
  6: list<i32> tokens
  7: list<string> texts
  8: string finish_reason
  9: list<string> holders
  10: i32 write_quorum
  11: i32 n_attempts
  12: i32 end_code
}

// ---- orders --------------------------------------------------------------------
struct ServiceCall {
  1: string order
  2: string method
  3: string path
  4: map<string, string> headers
  5: binary body
  6: bool is_order
  7: i64 timeout_ms
}
struct ServiceReply {
  1: i32 status
  2: map<string, string> headers
  3: binary body
  4: i32 code
  5: string was_run
  6: string detail
}
struct OrderQuery { 1: string order }
struct OrderAlive { 1: string order, 2: string claim, 3: i64 incarnation }
struct OrderAliveReply { 1: bool alive }

// ---- control -------------------------------------------------------------------
struct LogEntry { 1: i64 term, 2: i64 index, 3: i32 kind, 4: binary command }
struct Meta { 1: i32 format, 2: i64 term, 3: string voted_for }
struct MemberSet { 1: map<string, string> address_by_name, 2: i32 n_wanted }
struct Snapshot {
  1: i32 format, 2: i64 index, 3: i64 term, 4: binary state
  5: optional MemberSet members
}
struct Vote {
  1: i64 term, 2: string candidate, 3: i64 last_index, 4: i64 last_term, 5: bool pre
  6: string recipient
}
struct VoteReply { 1: i64 term, 2: bool granted }
struct AppendLog {
  1: i64 term, 2: string leader, 3: i64 prev_index, 4: i64 prev_term
  5: list<LogEntry> entries, 6: i64 commit_index, 7: string recipient
  8: optional LogEntry part, 9: i64 part_offset, 10: i64 part_n_bytes
}
struct AppendLogReply {
  1: i64 term, 2: bool ok, 3: i64 match_index, 4: optional i64 n_received_bytes
}
struct InstallSnapshot {
  1: i64 term, 2: string leader, 3: Snapshot snapshot, 4: string recipient
  5: i64 offset, 6: i64 n_bytes
}
struct JoinGroup {
  1: string name, 2: string address, 3: bool is_addition, 4: bool is_leaving
  5: bool is_forwarded
}
struct JoinGroupReply { 1: i32 code, 2: string leader_address, 3: bool is_voter }
struct ChangeDocument {
  1: string change_id, 2: i64 base_version, 3: string author, 4: string origin
  5: string patch_json, 6: i64 at_ms, 7: string note
}
struct ChangeResult {
  1: i32 code, 2: i64 version, 3: string detail, 4: list<string> paths
  5: string author, 6: i64 at_ms
}
struct RecordAttempt {
  1: string kind, 2: string author, 3: string origin, 4: string detail, 5: i64 at_ms
}
struct ClaimOrder {
  1: string order, 2: binary fingerprint, 3: string claim, 4: string instance
  5: i64 incarnation, 6: string target, 7: i64 at_ms
}
struct ClaimResult {
  1: i32 code, 2: string state, 3: string claim, 4: string instance
  5: i64 incarnation, 6: string target, 7: ServiceReply reply
}
struct SettleOrder {
  1: string order, 2: string claim, 3: string outcome, 4: ServiceReply reply
  5: i64 at_ms
}
struct PublishConfiguration {
  1: i64 version, 2: binary content, 3: string origin, 4: i64 at_ms
}
struct PublishResult { 1: i64 version_in_force, 2: bool is_stored }
struct Command {
  1: optional ChangeDocument change
  2: optional RecordAttempt attempt
  3: optional ClaimOrder claim
  4: optional SettleOrder settle
  5: optional PublishConfiguration publish
}
struct CommandResult {
  1: i32 code
  2: i64 index
  3: optional ChangeResult change
  4: optional ClaimResult claim
  5: optional PublishResult publish
}
struct Propose { 1: Command command }
struct ProposeReply { 1: i32 code, 2: CommandResult result, 3: string leader }
struct ReadFresh { }
struct ReadFreshReply {
  1: i32 code, 2: i64 commit_index, 3: string leader, 4: i64 term
}
struct FetchDocument { 1: i64 have_version }
struct FetchDocumentReply {
  1: i64 version, 2: string document_json, 3: string patches_json, 4: i64 fresh_age_ms
  5: i64 term
}

// ---- following the control group -----------------------------------------------
struct AnnouncedTarget {
  1: string target, 2: string service_name, 3: string address, 4: string failure_domain
  5: string version, 6: i32 n_slots, 7: i32 state, 8: i64 born_ms, 9: i64 sequence
  10: i64 warmup_ms, 11: i64 age_ms
}
// A call without targets asks for those of the receiver; the reply is a ShareTargets.
struct ShareTargets { 1: list<AnnouncedTarget> targets }
struct Run {
  1: string request, 2: string instance, 3: string target, 4: i64 born_ms
  5: i32 n_tokens, 6: i32 n_unread_tokens, 7: bool is_ended, 8: string backup
  9: string fingerprint, 10: i64 backup_born_ms, 11: bool is_cut
  12: string copy_address, 13: string copy_id
}
// What one attempt shows of its request and the shared segments of its prompt: its target
// crashed when it started to respond (or before), or the target survived it.
// prefix_hashes has the suspects: hashes of segments, and "request:" with the fingerprint
// of the request.
struct SegmentEvidence {
  1: string key, 2: string instance, 3: list<string> prefix_hashes, 4: bool is_sound
  5: i64 observed_ms, 6: string request, 7: string target, 8: i64 born_ms
  9: string failure_domain, 10: bool has_response
}
// The limit of requests a second that a target named, to all instances together, and how
// many requests the sender got for the service, by which the limit is divided.
struct LimitReport {
  1: string instance, 2: string service_name, 3: string target, 4: i64 born_ms
  5: double limit_per_s, 6: i64 named_age_ms, 7: i32 n_requests
  8: i64 unnamed_age_ms // since a response that named no limit
}
// Which software version of a service began a stream: the one of the target whose first
// event the request brought. Targets of other versions can't resume the stream.
struct StreamOrigin {
  1: string request, 2: string service_name, 3: string version, 4: i64 began_ms
  5: string instance
}
// A target said in a response that it is about to leave, age_ms ago. No other incarnation
// of it is meant.
struct LeavingReport { 1: string instance, 2: string target, 3: i64 born_ms, 4: i64 age_ms }
// A target asked an instance for a pause, of which left_ms are left.
struct PauseReport { 1: string instance, 2: string target, 3: i64 born_ms, 4: i64 left_ms }
// What an entry instance says of itself. Instances that stop
// order themselves by `stopped_ms`, the wall clock at SIGTERM.
struct EntryState {
  1: string instance, 2: i64 incarnation, 3: i64 sequence, 4: i32 state
  5: i64 stopped_ms
}
struct ShareRuns {
  1: list<Run> runs, 2: bool is_relayed, 3: list<SegmentEvidence> evidence
  4: list<LimitReport> limits, 5: list<StreamOrigin> origins
  6: list<LeavingReport> leaving, 7: list<PauseReport> pauses
  8: list<EntryState> entries
}
struct Follow { 1: i64 have_version, 2: string instance }
struct FollowUpdate {
  1: i64 version, 2: binary content, 3: list<AnnouncedTarget> targets
  4: list<string> member_addresses, 5: bool is_fresh, 6: list<Run> runs
  7: i32 n_followers, 8: list<SegmentEvidence> evidence, 9: list<LimitReport> limits
  10: list<StreamOrigin> origins, 11: list<LeavingReport> leaving
  12: list<PauseReport> pauses, 13: list<EntryState> entries
}
