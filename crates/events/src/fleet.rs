// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Events that change what a daemon believes of the fleet: other hosts, links, the configuration.

use crate::catalogue::log_events;

log_events! {
    /// A host's record, of itself and its backend servers, was taken over.
    "host record adopted" INFO HostAdopted<'a> {
        /// Name of the host.
        host: &'a str,
        /// Start of its daemon that the record is from, in milliseconds since 1970.
        incarnation: i64,
        /// Backend servers that it names, and whether they are draining.
        servers: &'a str,
        /// Whether the daemon is leaving.
        leaving: bool,
    }

    /// A host's record is gone.
    "host record gone" INFO HostGone<'a> {
        /// Name of the host.
        host: &'a str,
    }

    /// A record of an earlier start of a host's daemon was passed over.
    "earlier start passed over" INFO EarlierStart<'a> {
        /// Name of the host.
        host: &'a str,
        /// Start that the record is from.
        incarnation: i64,
        /// Latest start that is known.
        latest: i64,
    }

    /// Another host listens at the address of this one, which is taken as gone.
    "host replaced at its address" INFO HostReplaced<'a> {
        /// Host that is gone.
        host: &'a str,
        /// Host that took its address.
        by: &'a str,
    }

    /// A host's row in the store can't be read and is left aside.
    "host row unreadable" WARN HostUnreadable<'a> {
        /// Name of the host.
        host: &'a str,
        /// What is wrong.
        error: &'a str,
    }

    /// Backend servers in a host's row can't be read and are left out; the others hold.
    "servers unreadable" WARN ServersUnreadable<'a> {
        /// Name of the host.
        host: &'a str,
        /// How many.
        servers: u64,
    }

    /// A later start of this host has a row: two daemons run, or the clock was set back.
    "later start of this host" WARN LaterStart {
        /// Start that the row is from.
        incarnation: i64,
        /// Start of this daemon.
        own: i64,
    }

    /// The row of a host that was silent for long was removed from the store.
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

    /// A link to another daemon was made; work may go there.
    "peer linked" INFO PeerLinked<'a> {
        /// Host of the daemon.
        host: &'a str,
    }

    /// A link to another daemon could not be made; its upstreams are left until the next try.
    "peer unreachable" INFO PeerUnreachable<'a> {
        /// Host of the daemon.
        host: &'a str,
        /// What happened.
        error: &'a str,
        /// Time until the next try may be made.
        retry_in_ms: u64,
    }

    /// A link to another daemon ended; what was under way there has an unknown end.
    "peer lost" INFO PeerLost<'a> {
        /// Host of the daemon.
        host: &'a str,
        /// What happened.
        error: &'a str,
        /// Requests that were under way.
        in_flight: u64,
        /// Time since something was heard of it.
        silent_ms: u64,
    }

    /// A link to another daemon says nothing though it should; its upstreams are left meanwhile.
    "peer silent" INFO PeerSilent<'a> {
        /// Host of the daemon.
        host: &'a str,
        /// Time since something was heard of it.
        silent_ms: u64,
        /// Requests that are under way.
        in_flight: u64,
    }

    /// A link that said nothing is heard of again.
    "peer heard again" INFO PeerHeard<'a> {
        /// Host of the daemon.
        host: &'a str,
    }

    /// A daemon that wanted a link was refused.
    "link refused" WARN LinkRefused<'a> {
        /// Why.
        error: &'a str,
    }

    /// A link that another daemon made has ended.
    "accepted link ended" DEBUG AcceptedEnded<'a> {
        /// Host of the daemon.
        host: &'a str,
        /// What happened.
        error: &'a str,
    }

    /// Another daemon sent a frame that has no place there.
    "unexpected frame" WARN UnexpectedFrame<'a> {
        /// Host of the daemon.
        host: &'a str,
        /// Kind of the frame.
        frame: &'a str,
    }

    /// A seed does not answer; the next one is asked.
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

    /// The operator's document was taken over.
    "document taken over" INFO DocumentTaken<'a> {
        /// Its revision.
        revision: u64,
        /// Store or host that it came from.
        from: &'a str,
        /// Age of the last word that what it replaces was the newest; absent if there was none.
        fresh_ms: Option<u64>,
    }

    /// A neighbour that is not known to have the revision in force is told again.
    "revision told again" INFO ToldAgain<'a> {
        /// Name of the host.
        host: &'a str,
        /// Revision in force here.
        revision: u64,
        /// Times that it was told.
        told: u64,
        /// Silence of its daemon; a new link is made where nothing was heard since it was told.
        silent_ms: u64,
    }

    /// A call that waits at the store is given up, as a peer has what it did not bring.
    "store call given up" INFO CallGivenUp<'a> {
        /// Table that was asked for.
        table: &'a str,
        /// How long the call had been under way.
        waited_ms: u64,
    }

    /// A configuration that is older than the one in force was passed over.
    "older configuration passed over" INFO ConfigOlder<'a> {
        /// Its revision.
        revision: u64,
        /// Revision in force.
        in_force: u64,
        /// Where it came from: store, peer, or the name of a host.
        from: &'a str,
    }

    /// A configuration can't be read; the one in force stays.
    "configuration unreadable" ERROR ConfigUnreadable<'a> {
        /// What is wrong.
        error: &'a str,
        /// Where it came from: store, or the name of a host.
        from: &'a str,
        /// Revision in force.
        in_force: u64,
    }

    /// A change of the configuration can't be read; it is not taken over.
    "change unreadable" ERROR ChangeUnreadable<'a> {
        /// What is wrong.
        error: &'a str,
        /// Where it came from: store, or the name of a host.
        from: &'a str,
        /// Revision of the change, 0 if that can't be read either.
        revision: u64,
    }

    /// An operator's change was accepted.
    "change accepted" INFO ChangeAccepted<'a> {
        /// Revision that it made.
        revision: u64,
        /// Who asked for it.
        actor: &'a str,
        /// Resources that it changed.
        changes: u64,
    }

    /// The configuration in force was kept whole for newcomers.
    "snapshot kept" INFO SnapshotKept {
        /// Its revision.
        revision: u64,
    }

    /// The configuration in force could not be kept whole; newcomers read more changes.
    "snapshot not kept" WARN SnapshotNotKept<'a> {
        /// What happened.
        error: &'a str,
    }

    /// A whole configuration from another daemon can't be read.
    "snapshot unreadable" WARN SnapshotUnreadable<'a> {
        /// Host of the daemon.
        host: &'a str,
        /// What is wrong.
        error: &'a str,
    }

    /// A part of the document can't be shown as a resource.
    "resource not shown" WARN ResourceNotShown<'a> {
        /// What is wrong.
        error: &'a str,
    }
}
