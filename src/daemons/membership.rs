//! Reads the host list and exchanges heartbeats with the other entry hosts.

use tokio::time::{MissedTickBehavior, interval};

use crate::daemons::context::SharedContext;
use crate::daemons::host_registry::{EntryHost, HostRoster};
use crate::daemons::peer_link::PeerLink;
use crate::tables::name::ObjectName;
use crate::wire::log::HostListing;
use crate::wire::peer::{PeerCall, PeerReply};

/// Reads the host list for ever.
pub async fn poll_host_list(context: SharedContext) {
    let url = format!("http://{}/hosts", context.settings.raw.host_list_address);
    let mut ticks = interval(context.settings.timing.host_list);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let limit = context.settings.timing.worker_timeout;
        match context.client.get::<HostListing>(&url, limit).await {
            Ok(listing) => context.hosts.replace(HostRoster::from(listing)),
            Err(failure) => log::debug!("hosts: the list cannot be read: {failure}."),
        }
    }
}

struct LinkRow {
    host: ObjectName,
    link: PeerLink,
}

/// Sends heartbeats to all listed entry hosts for ever.
pub async fn send_heartbeats(context: SharedContext) {
    let mut links: Vec<LinkRow> = Vec::new();
    let mut ticks = interval(context.settings.timing.heartbeat);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        refresh_links(&context, &mut links);
        for row in &links {
            tokio::spawn(send_heartbeat(context.clone(), row.link.clone()));
        }
    }
}

fn refresh_links(context: &SharedContext, links: &mut Vec<LinkRow>) {
    let Some(roster) = context.hosts.roster() else {
        return;
    };
    let mut listed = roster.entry;
    listed.retain(|entry| entry.name != *context.host());
    links.retain(|row| {
        let same =
            |entry: &EntryHost| entry.name == row.host && entry.address == row.link.address();
        listed.iter().any(same)
    });
    for entry in listed {
        if !links.iter().any(|row| row.host == entry.name) {
            links.push(LinkRow {
                host: entry.name.clone(),
                link: PeerLink::start(entry.address),
            });
        }
    }
}

async fn send_heartbeat(context: SharedContext, link: PeerLink) {
    let call = PeerCall::Heartbeat(context.heartbeat());
    let limit = context.settings.timing.peer_dead;
    if let Ok(PeerReply::Heartbeat(heartbeat)) = link.call(call, limit).await {
        context.peers.record(heartbeat);
    }
}
