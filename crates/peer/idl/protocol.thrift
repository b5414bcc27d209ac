// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0
//
// The protocol between daemons. Every frame on a peer link is a four-byte big-endian length and
// one PeerFrame in the compact protocol. After a change, run crates/peer/idl/generate.

namespace rs protocol

/**
 * Load and health of one upstream, for the route of the dispatch, as its host's daemon reports them
 * on every answer. Fractions are in thousandths: an eighth of the bytes of a double, and finer than
 * the measurements.
 */
struct LoadReport {
  1: required i32 in_flight
  2: required i32 queued
  3: required bool draining
  4: required i32 sickness_milli
  5: required i32 median_ln_milli
  6: required i32 spread_milli
  7: required i32 failure_rate_milli
  8: required i32 overdue_rate_milli
  9: required i32 samples
  10: required i32 ramp_milli
  11: required i32 trial_in_ms
  12: required i64 revision
  13: required bool ejected
  14: required i32 took_us
  15: required bool doubtful
  /** Decayed counts of requests that outlasted nearly all healthy ones: hung, and answered late. */
  16: optional i32 hung_milli
  17: optional i32 late_milli
}

/** Statistics of an ingress for a route over all upstreams of its service, in thousandths. */
struct BaselineNote {
  1: required i32 median_ln_milli
  2: required i32 spread_milli
  3: required i32 failure_rate_milli
  4: required i32 overdue_rate_milli
  5: required i32 sickness_milli
  6: required i32 upstreams
  /** Sums of these counts over the other upstreams. */
  7: optional i32 hung_milli
  8: optional i32 late_milli
}

/** Crash tally of a suspect request: one that ran at backend servers when they crashed. */
struct TallyNote {
  1: required i32 round
  2: required i32 crashes
}

/** What a daemon knows of a suspect request. */
struct SuspectNote {
  1: required binary fingerprint
  2: required TallyNote tally
  3: required i64 seen_ms_ago
  /** The upstream that crashed last while the request ran there. */
  4: required string upstream
}

/** Announces suspect requests: the new ones, or all that are known. */
struct SuspectNews {
  1: required list<SuspectNote> suspects
}

/** The first frame of an exchange, from the ingress to the host's daemon. */
struct DispatchHead {
  1: required string service_name
  2: required string upstream
  3: required string route
  4: required string method
  5: required string target
  /** Header fields as lines of HTTP/1.1. */
  6: required binary field_lines
  7: required i32 deadline_ms
  8: required bool refusable
  9: required i8 work_class
  10: required i8 work_mode
  11: required i8 attempt
  12: required i64 content_length
  13: required binary body
  14: required bool last
  15: optional BaselineNote baseline
  16: optional string once_key
  17: optional string organisation
  18: required i64 revision
  19: required bool after_failure
  /** The ingress can try another upstream if this one is doubted (its circuit breaker is open). */
  20: required bool passable
  /** Time left of the latency objective; 0 if none was declared or it has passed. */
  21: required i32 objective_ms
  /** The ingress logs this request from its start, and the host's daemon must do so as well. */
  22: optional bool logged
  /** The request reached a backend server before, so its nested calls may repeat earlier ones. */
  23: required bool repeated
  /** Fingerprint by which copies of the request are recognised. Set where the host's daemon can't
      compute it, as it covers the body too, which may be withheld. */
  24: optional binary fingerprint
  /** Crash tally that the ingress has for the request, if any. */
  25: optional TallyNote tally
  /** Asks for a reservation only: the host's daemon grants credit once it holds a slot for the
      request, and the request follows in a called_in frame, or never. Fields that only the request
      needs are empty here. */
  26: optional bool reserved
  /** The request is a nested call of a running request, which fails with it. */
  27: optional bool called
}

/** Load probe: asks a host's daemon for the load of an upstream before a request is sent to it. */
struct LoadQuestion {
  1: required string upstream
  /** Route of the request, for which the health is reported. */
  2: required string route
  3: required i64 sequence
}

struct LoadAnswer {
  1: required i64 sequence
  /** Absent if there is no such upstream. */
  2: optional LoadReport report
}

/** The first frame of an answer. */
struct AnswerHead {
  1: required i16 status
  /** Header fields as lines of HTTP/1.1. */
  2: required binary field_lines
  3: required i64 content_length
  4: required binary body
  5: required bool last
  6: required LoadReport report
}

struct BodyChunk {
  1: required binary data
  2: required bool last
}

/** Flow control: allows the other side to send this many more body bytes of the exchange. */
struct CreditGrant {
  1: required i32 bytes
}

/** Ends an exchange without a complete answer. */
struct ExchangeFailure {
  1: required i16 outcome
  2: required i32 retry_after_ms
  3: optional LoadReport report
}

/** Ends an exchange that the ingress cancelled. */
struct CancelNotice {
  1: required bool caller_gone
}

struct MemberEntry {
  1: required string host
  2: required string failure_domain
  3: required string peer_address
  4: required string admin_address
  5: required i64 incarnation
  6: required i8 state
  7: required i64 age_ms
  8: required i64 revision
}

/** A heartbeat or the reply to one; carries the revision in force and some members. */
struct HeartbeatNote {
  1: required bool reply
  2: required i64 revision
  3: required list<MemberEntry> members
  /** Digest of the known suspects; absent if there are none. */
  4: optional i64 suspects
  /** Clock of the asking daemon in milliseconds, which the reply echoes. */
  5: optional i64 asked_ms
  /** Age in milliseconds of the last confirmation that the revision is the newest; absent if there
      was none. */
  6: optional i64 fresh_ms
  /** The reply may wait briefly until the asked daemon knows whether the revision is the newest: it
      asks the store on behalf of many others. */
  7: optional bool wants_word
}

/** Withdraws a failure counted against an upstream: the request failed at another one as well. */
struct WithdrawNote {
  1: required string service_name
  2: required string upstream
  3: required string route
}

struct ChangePull {
  1: required i64 after
}

/** Changes in the order of their revisions, or a snapshot; JSON as in the table. */
struct ChangeNews {
  1: required i64 revision
  2: required list<binary> records
  3: optional binary snapshot_part
  4: required bool last
  /** Number of the snapshot transfer that a part belongs to; later transfers of a sender have
      higher ones. */
  5: optional i64 telling
  /** Index of the part in the transfer, from 0. */
  6: optional i32 place
}

struct GrantRequest {
  1: required string limit
  2: required double wanted
  3: required i64 sequence
  /** Requests that were admitted ahead and are paid for now. */
  4: optional double spent
  /** Requests a second that are claimed from the backup owner while the owner of the limit can't be
      reached. */
  5: optional double claim
}

struct GrantReply {
  1: required i64 sequence
  2: required double granted
  3: required i32 valid_ms
  /** Requests that the asking daemon may admit ahead of its next GrantRequest. */
  4: optional i32 ahead
  /** The asking daemon's share of the limit in requests a second while it can't reach the owner. */
  5: optional double share
}

/** Subscribes to host row changes at a daemon of the own failure domain, for a limited time. */
struct RowsRequest {
  /** Version of the table that the asking daemon has. */
  1: required i64 version
}

struct RowNote {
  1: required string key
  /** Absent if the row was removed. */
  2: optional binary value
  3: required i64 version
}

/** Rows of hosts that changed from one version of the table to another; an empty list is a
    heartbeat. Rows of version 0 were relayed directly by a daemon, bypassing the store. */
struct RowsNews {
  1: required i64 after
  2: required i64 version
  3: required list<RowNote> rows
  /** The changes after the requested version are no longer known. */
  4: required bool forgotten
}

/** The first frame on a link, in both directions. */
struct HelloNote {
  1: required string host
  2: required i64 incarnation
  3: required binary nonce
  4: required i32 protocol_version
  /** Links between failure domains are compressed after the handshake. */
  5: required string failure_domain
  /** Whether the daemon answers a LoadQuestion; daemons of earlier versions end the link on one. */
  6: optional bool answers_looks
  /** Whether the daemon accepts reservations. */
  7: optional bool takes_reservations
}

/** The answer to the other side's nonce. */
struct ProofNote {
  1: required binary mac
}

union FrameBody {
  1: DispatchHead dispatch
  2: AnswerHead answer
  3: BodyChunk chunk
  4: CreditGrant credit
  5: ExchangeFailure failure
  6: CancelNotice cancel
  7: HeartbeatNote heartbeat
  8: ChangePull pull
  9: ChangeNews news
  10: GrantRequest grant_request
  11: GrantReply grant_reply
  12: HelloNote hello
  13: ProofNote proof
  14: WithdrawNote withdraw
  15: RowsRequest rows_request
  16: RowsNews rows_news
  17: SuspectNews suspect_news
  18: LoadQuestion load_question
  19: LoadAnswer load_answer
  /** The request of a reservation that was offered a slot, on the exchange of the reservation.
      Unlike a dispatch it opens no exchange: a host that has dropped the reservation ignores it,
      since it has already reported to the ingress that the request did not run. */
  20: DispatchHead called_in
}

struct PeerFrame {
  1: required i64 exchange
  2: required FrameBody body
}
