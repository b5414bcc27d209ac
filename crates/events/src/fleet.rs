// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Events that change a daemon's view of the fleet: other hosts, links, the configuration.

use crate::catalogue::log_events;

log_events! {
    /// A host's record, which describes the host and its backend servers, was adopted.
    "host record adopted" INFO HostAdopted<'a> {
        /// Name of the host.
        host: &'a str,
        /// Incarnation of its daemon that wrote the record: its start time in milliseconds since
        /// 1970.
        incarnation: i64,
        /// Backend servers in the record, and whether they are draining.
        servers: &'a str,
        /// Whether the daemon is leaving.
        leaving: bool,
    }

    /// A host's record no longer exists.
    "host record gone" INFO HostGone<'a> {
        /// Name of the host.
        host: &'a str,
    }

    /// A record of an earlier incarnation of a host's daemon was ignored.
    "earlier start passed over" INFO EarlierStart<'a> {
        /// Name of the host.
        host: &'a str,
        /// Incarnation that the record is from.
        incarnation: i64,
        /// Latest incarnation that is known.
        latest: i64,
    }

    /// Another host listens at the address of this one, which is therefore regarded as gone.
    "host replaced at its address" INFO HostReplaced<'a> {
        /// Host that is gone.
        host: &'a str,
        /// Host that took its address.
        by: &'a str,
    }

    /// The backend servers of a failure domain get no new requests.
    "failure domain evacuated" INFO DomainEvacuated<'a> {
        /// Name of the failure domain.
        domain: &'a str,
        /// Number of known hosts in it; 0 may be a mistake in its name.
        hosts: u64,
    }

    /// The backend servers of a failure domain get requests again.
    "failure domain restored" INFO DomainRestored<'a> {
        /// Name of the failure domain.
        domain: &'a str,
    }

    /// A host's row in the store can't be read and is skipped.
    "host row unreadable" WARN HostUnreadable<'a> {
        /// Name of the host.
        host: &'a str,
        /// What is wrong.
        error: &'a str,
    }

    /// Backend servers in a host's row can't be read and are left out; the others in it stay valid.
    "servers unreadable" WARN ServersUnreadable<'a> {
        /// Name of the host.
        host: &'a str,
        /// How many.
        servers: u64,
    }

    /// The store holds a row of a later incarnation of this host's daemon: two daemons run, or the
    /// clock was set back.
    "later start of this host" WARN LaterStart {
        /// Incarnation that the row is from.
        incarnation: i64,
        /// Incarnation of this daemon.
        own: i64,
    }

    /// The row of a host that had been silent for long was removed from the store.
    "host row removed" INFO HostRemoved<'a> {
        /// Name of the host.
        host: &'a str,
    }

    /// The row of a silent host could not be removed yet.
    "host row stays" DEBUG HostStays<'a> {
        /// Name of the host.
        host: &'a str,
        /// What happened.
        error: &'a str,
    }

    /// A link to another daemon was established; requests may be sent over it.
    "peer linked" INFO PeerLinked<'a> {
        /// Host of the daemon.
        host: &'a str,
    }

    /// A link to another daemon could not be established; its upstreams are not used until the next
    /// attempt.
    "peer unreachable" INFO PeerUnreachable<'a> {
        /// Host of the daemon.
        host: &'a str,
        /// What happened.
        error: &'a str,
        /// Time until the next attempt may be made.
        retry_in_ms: u64,
    }

    /// A link to another daemon ended; the outcome of the requests that were in flight there is
    /// unknown.
    "peer lost" INFO PeerLost<'a> {
        /// Host of the daemon.
        host: &'a str,
        /// What happened.
        error: &'a str,
        /// Requests that were in flight.
        in_flight: u64,
        /// Time since anything was received from it.
        silent_ms: u64,
    }

    /// Nothing arrives over a link to another daemon although it should; its upstreams are not used
    /// meanwhile.
    "peer silent" INFO PeerSilent<'a> {
        /// Host of the daemon.
        host: &'a str,
        /// Time since anything was received from it.
        silent_ms: u64,
        /// Requests that are in flight.
        in_flight: u64,
    }

    /// Data arrives again over a link that had been silent.
    "peer heard again" INFO PeerHeard<'a> {
        /// Host of the daemon.
        host: &'a str,
    }

    /// A link that another daemon tried to establish was refused.
    "link refused" WARN LinkRefused<'a> {
        /// Why.
        error: &'a str,
    }

    /// A link that another daemon had established ended.
    "accepted link ended" DEBUG AcceptedEnded<'a> {
        /// Host of the daemon.
        host: &'a str,
        /// What happened.
        error: &'a str,
    }

    /// Another daemon sent a frame that is not expected on its link.
    "unexpected frame" WARN UnexpectedFrame<'a> {
        /// Host of the daemon.
        host: &'a str,
        /// Kind of the frame.
        frame: &'a str,
    }

    /// A seed does not answer; the next one is tried.
    "seed silent" DEBUG SeedSilent<'a> {
        /// Its address.
        address: &'a str,
        /// What happened.
        error: &'a str,
    }

    /// A configuration is in force here.
    "configuration in force" INFO ConfigInForce {
        /// Its revision.
        revision: u64,
        /// Revision that it replaces.
        before: u64,
    }

    /// The operator's document was adopted.
    "document taken over" INFO DocumentTaken<'a> {
        /// Its revision.
        revision: u64,
        /// Where it came from: `store`, or the name of a host.
        from: &'a str,
        /// Age of the last confirmation that the configuration which it replaces was the newest;
        /// absent if there was none.
        fresh_ms: Option<u64>,
    }

    /// The revision in force is announced again to a neighbour that is not known to have it.
    "revision told again" INFO ToldAgain<'a> {
        /// Name of the host.
        host: &'a str,
        /// Revision in force here.
        revision: u64,
        /// Number of times that it was announced to that host.
        told: u64,
        /// Time since anything was received from its daemon; a new link is made if nothing was
        /// received since the last announcement.
        silent_ms: u64,
    }

    /// A call that waits for the store is abandoned, as a peer has sent what the call did not
    /// return.
    "store call given up" INFO CallGivenUp<'a> {
        /// Table that was requested.
        table: &'a str,
        /// Time for which the call had been pending.
        waited_ms: u64,
    }

    /// A configuration that is older than the one in force was ignored.
    "older configuration passed over" INFO ConfigOlder<'a> {
        /// Its revision.
        revision: u64,
        /// Revision in force.
        in_force: u64,
        /// Where it came from: `store`, `store or peer`, or the name of a host.
        from: &'a str,
    }

    /// A configuration can't be read; the one in force stays.
    "configuration unreadable" ERROR ConfigUnreadable<'a> {
        /// What is wrong.
        error: &'a str,
        /// Where it came from: `store`.
        from: &'a str,
        /// Revision in force.
        in_force: u64,
    }

    /// A change of the configuration can't be read and is not applied.
    "change unreadable" ERROR ChangeUnreadable<'a> {
        /// What is wrong.
        error: &'a str,
        /// Where it came from: `store or peer`, or the name of a host.
        from: &'a str,
        /// Revision of the change, 0 if that can't be read either.
        revision: u64,
    }

    /// An operator's change was accepted.
    "change accepted" INFO ChangeAccepted<'a> {
        /// Revision that it created.
        revision: u64,
        /// Who requested it.
        actor: &'a str,
        /// Resources that it changed.
        changes: u64,
    }

    /// A snapshot of the whole configuration in force was stored, for daemons that start later.
    "snapshot kept" INFO SnapshotKept {
        /// Its revision.
        revision: u64,
    }

    /// A snapshot of the whole configuration in force could not be stored; daemons that start later
    /// read more changes.
    "snapshot not kept" WARN SnapshotNotKept<'a> {
        /// What happened.
        error: &'a str,
    }

    /// A snapshot of the whole configuration from another daemon can't be read.
    "snapshot unreadable" WARN SnapshotUnreadable<'a> {
        /// Host of the daemon.
        host: &'a str,
        /// What is wrong.
        error: &'a str,
    }

    /// A part of the document can't be represented as a resource.
    "resource not shown" WARN ResourceNotShown<'a> {
        /// What is wrong.
        error: &'a str,
    }

    /// This daemon began to count a limit for the fleet, because a daemon asked it for tokens.
    "limit owned" INFO LimitOwned<'a> {
        /// Name of the limit.
        limit: &'a str,
        /// How the fleet started, as far as this daemon knows: `first`, `restart` or `settled`.
        start: &'a str,
        /// Time since this daemon's start.
        age_ms: u64,
        /// Whether the table of hosts was read.
        rows_read: bool,
        /// Whether an earlier start of this host's daemon is known.
        earlier_start: bool,
        /// How much earlier than this daemon the first of the other known daemons started.
        others_lead_ms: u64,
        /// Daemons that may own limits, as far as this daemon knows.
        eligible: u64,
        /// Tokens that it may grant at once.
        tokens: f64,
    }
}
