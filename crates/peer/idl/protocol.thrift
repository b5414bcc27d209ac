// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0
//
// The protocol between daemons. Every frame on a peer link is a four-byte big-endian length and
// one PeerFrame in the compact protocol. After a change, run crates/peer/idl/generate.

namespace rs protocol

/**
 * What a host's daemon reports of one upstream, for the route of the dispatch, on every answer.
 * Fractions are in thousandths: an eighth of the bytes, and finer than what is measured.
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
  /** Work that lasted longer than nearly all sound work: that hung, and that was answered late. */
  16: optional i32 hung_milli
  17: optional i32 late_milli
  /** Requests per second that the server takes by its last word; none if it named no limit, or nothing is known. */
  18: optional double rate
  /** Time in milliseconds until that limit allows the next request. */
  19: optional i32 turn_in_ms
  /** Whether the server is known to have no such limit. */
  20: optional bool unlimited
  /** Whether the server is known to leave for good. */
  21: optional bool leaving
  /** The server that the report is about, if it is the successor of the one that was asked for. */
  22: optional string successor
  /** Whether the server only counts as draining because its daemon is shutting down. */
  23: optional bool handing_over
}

/** What an ingress knows of a route over all upstreams of its service, in thousandths. */
struct BaselineNote {
  1: required i32 median_ln_milli
  2: required i32 spread_milli
  3: required i32 failure_rate_milli
  4: required i32 overdue_rate_milli
  5: required i32 sickness_milli
  6: required i32 upstreams
  /** Sums of what the other upstreams saw of work that hung, and that was answered late. */
  7: optional i32 hung_milli
  8: optional i32 late_milli
}

/** What counts against a request that ran at servers when they crashed. */
struct TallyNote {
  1: required i32 round
  2: required i32 crashes
}

/** What a daemon knows of such a request. */
struct SuspectNote {
  1: required binary fingerprint
  2: required TallyNote tally
  3: required i64 seen_ms_ago
  /** The upstream that crashed under it last. */
  4: required string upstream
}

/** Tells of such requests: what is new, or all that is known. */
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
  /** The ingress can ask another upstream if this one is doubted. */
  20: required bool passable
  /** Time left in which an answer is worth most, 0 when none was declared or it has passed. */
  21: required i32 objective_ms
  /** The ingress logs this request from its start, so that the host's daemon does as well. */
  22: optional bool logged
  /** The request reached a server before, so that the calls of this work repeat others. */
  23: required bool repeated
  /** What tells the copies of the request from others, where the host's daemon can't find it out: a
      body that is withheld counts as well. */
  24: optional binary fingerprint
  /** What the ingress knows against the request, if anything. */
  25: optional TallyNote tally
  /** Only a place before the slots is asked for: the host's daemon gives credit once a slot is held for the work,
      and the work comes in a frame of its own, then or never. What only the work needs is left empty here. */
  26: optional bool reserved
  /** The request is a call of work that runs, which is lost with it. */
  27: optional bool called
  /** Requests per second that the server takes, by what the ingress has heard of it. */
  28: optional double rate
}

/** Asks a host's daemon how an upstream is, before work is sent to it. */
struct LoadQuestion {
  1: required string upstream
  /** Route of the work, for which the health is reported. */
  2: required string route
  3: required i64 sequence
}

struct LoadAnswer {
  1: required i64 sequence
  /** None where there is no such upstream. */
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

/** Allows the other side to send this many more body bytes of the exchange. */
struct CreditGrant {
  1: required i32 bytes
}

/** Ends an exchange that gave no complete answer. */
struct ExchangeFailure {
  1: required i16 outcome
  2: required i32 retry_after_ms
  3: optional LoadReport report
}

/** Ends an exchange that the ingress gave up. */
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

/** The state of a failure domain as of a version of the operator's table. */
struct EvacuationNote {
  1: required string failure_domain
  2: required i64 version
  3: required bool evacuated
  /** Era of the store in which the version was assigned; none from a daemon of an earlier release. */
  4: optional i64 era
}

/** Asks for, or is, a sign of life; carries the revision in force and some members. */
struct HeartbeatNote {
  1: required bool reply
  2: required i64 revision
  3: required list<MemberEntry> members
  /** Digest of the suspects that are known; none if there are none. */
  4: optional i64 suspects
  /** Time of the asking daemon's clock in milliseconds, which the answer repeats. */
  5: optional i64 asked_ms
  /** Age in milliseconds of the last word that the revision is the newest; none if there was none. */
  6: optional i64 fresh_ms
  /** The answer may wait a moment until this daemon knows whether the revision is the newest: it asks the store
      for many others. */
  7: optional bool wants_word
  /** The latest known state of each failure domain that was ever evacuated; none if there is none. */
  8: optional list<EvacuationNote> evacuations
}

/** Takes back a failure that followed its request to another upstream. */
struct WithdrawNote {
  1: required string service_name
  2: required string upstream
  3: required string route
}

struct ChangePull {
  1: required i64 after
  /** Whether the asking daemon wants the document in packed form and without the rows of hosts. */
  2: optional bool document_only
}

/** Changes in the order of their revisions, or a snapshot; JSON as in the table. */
struct ChangeNews {
  1: required i64 revision
  2: required list<binary> records
  3: optional binary snapshot_part
  4: required bool last
  /** Which telling of a snapshot a part belongs to; later ones of a sender have higher numbers. */
  5: optional i64 telling
  /** Place of the part in it, from 0. */
  6: optional i32 place
  /** Whether the snapshot is compressed. */
  7: optional bool packed
}

struct GrantRequest {
  1: required string limit
  2: required double wanted
  3: required i64 sequence
  /** What was let in ahead and is paid for now. */
  4: optional double spent
  /** Requests a second that are claimed from the deputy of a home that can't be reached. */
  5: optional double claim
}

struct GrantReply {
  1: required i64 sequence
  2: required double granted
  3: required i32 valid_ms
  /** Requests that the asking daemon may let in ahead of its next question. */
  4: optional i32 ahead
  /** Its part of the limit, in requests a second, for as long as it can't reach the home. */
  5: optional double share
}

/** Asks a daemon of the own failure domain to pass on how the rows of hosts change, for a while. */
struct RowsRequest {
  /** Version of the table that the asking daemon has. */
  1: required i64 version
  /** Whether the asking daemon reads packed rows. */
  2: optional bool takes_packed
  /** Whether changes are sent only in answer to a request, not when they arrive. */
  3: optional bool on_request_only
  /** Revision of the configuration that the asking daemon has in force. */
  4: optional i64 revision
  /** Highest version of an evacuation that the asking daemon knows. */
  5: optional i64 evacuation
  /** Era of the store in which that version was assigned. */
  6: optional i64 evacuation_era
}

struct RowNote {
  1: required string key
  /** None when the row was removed. */
  2: optional binary value
  3: required i64 version
}

/** Rows of hosts that changed from one version of the table to another; none is a sign of life.
    Those of version 0 were told past the store by a daemon. */
struct RowsNews {
  1: required i64 after
  2: required i64 version
  3: required list<RowNote> rows
  /** What changed after the version that was asked for is no longer known. */
  4: required bool forgotten
  /** The rows as a compressed RowList, in place of `rows`. */
  5: optional binary packed
  /** Whether more changes follow, which the receiver asks for. */
  6: optional bool more
}

struct RowList {
  1: required list<RowNote> rows
}

/** The first frame on a link, in both directions. */
struct HelloNote {
  1: required string host
  2: required i64 incarnation
  3: required binary nonce
  4: required i32 protocol_version
  /** Between failure domains, what follows the handshake is compressed. */
  5: required string failure_domain
  /** Whether it answers a LoadQuestion; daemons of an earlier version end the link at one. */
  6: optional bool answers_looks
  /** Whether the daemon takes reservations. */
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
  /** The work that was called in, on the exchange of its place. Unlike a dispatch it opens no exchange: at a host
      that has given the place up it is passed over, as the ingress was told that it did not run. */
  20: DispatchHead called_in
}

struct PeerFrame {
  1: required i64 exchange
  2: required FrameBody body
}
