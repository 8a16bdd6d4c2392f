//! Messages about the limits of targets and the permits for them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use chicoryloom_policy::Moment;
use chicoryloom_policy::id;
use chicoryloom_policy::throttle::Change;

use super::Fleet;
use crate::gateway::dispatcher::throttle as dispatcher;
use crate::gateway::dispatcher::throttle::Message;
use crate::gateway::extension::Extension;
use crate::gateway::extension::Field;
use crate::gateway::message::Body;
use crate::gateway::message::Ceiling;
use crate::gateway::message::Cold;

/// Age in an ask of a host that knows nothing of the target's limit.
const UNKNOWN_AGE_MS: u32 = u32::MAX;
/// Most limits in one datagram; each takes about 35 bytes.
const LIMITS_PER_DATAGRAM: usize = 30;

impl Fleet {
    /// Sends limits that changed to the given hosts, and messages about permits to their receivers.
    pub(super) async fn send_limits(&self, peers: &[SocketAddr]) {
        let reports = self.dispatcher.take_limit_reports();
        let ceiling = |(process, limit, age)| Ceiling {
            process: From::from(process),
            limit,
            age_ms: millis(age),
        };
        let ceilings: Vec<_> = reports.into_iter().map(ceiling).collect();
        for ceilings in ceilings.chunks(LIMITS_PER_DATAGRAM) {
            self.send(peers, Body::Limits(ceilings.to_vec())).await;
        }
        let messages = self.dispatcher.take_permit_messages();
        if messages.is_empty() {
            return;
        }
        let now = self.clock.now();
        let addresses: HashMap<id::Host, SocketAddr> = {
            let members = self.members();
            members.all_alive(now).map(|member| (member.host.clone(), member.peer)).collect()
        };
        for (host, message) in messages {
            let Some(peer) = addresses.get(&host) else { continue };
            let (body, extension) = encode(message, now);
            self.send_extended(&[*peer], body, &extension).await;
        }
    }

    /// Applies other hosts' reports of limits.
    pub(super) fn apply_limits(&self, sender: &id::Host, ceilings: Vec<Ceiling>) {
        for Ceiling { process, limit, age_ms } in ceilings {
            let age = Duration::from_millis(age_ms.into());
            self.dispatcher.apply_peer_limit(sender, &process.into(), limit, age);
        }
    }

    /// Applies another host's message about permits; ignores other messages.
    pub(super) fn apply_permit_body(&self, sender: &id::Host, body: Body, extension: &Extension) {
        let cold = extension.get(Field::Cold).ok().flatten();
        if let Some(message) = decode(body, cold, self.clock.now()) {
            self.dispatcher.apply_permit_message(sender, message);
        }
    }
}

fn encode(message: Message, now: Moment) -> (Body, Extension) {
    let mut extension = Extension::new();
    let body = match message {
        Message::Ask { process, change, cold, asked, wanted } => {
            if let Some(dispatcher::Cold { rate, remaining }) = cold {
                let cold = Cold { rate, remaining_ms: millis(remaining) };
                extension = extension.with(Field::Cold, &cold);
            }
            let age_ms = if change.at == Moment::ZERO {
                UNKNOWN_AGE_MS
            } else {
                millis(now.since(change.at))
            };
            let ceiling = Ceiling { process: process.into(), limit: change.limit, age_ms };
            Body::Ask { ceiling, asked_ns: nanos(asked), wanted }
        }
        Message::Grant { process, asked, count } => {
            Body::Grant { process: process.into(), asked_ns: nanos(asked), count }
        }
        Message::Turn { process, wait } => {
            Body::Turn { process: process.into(), wait_ms: millis(wait) }
        }
    };
    (body, extension)
}

fn decode(body: Body, cold: Option<Cold>, now: Moment) -> Option<Message> {
    Some(match body {
        Body::Ask { ceiling: Ceiling { process, limit, age_ms }, asked_ns, wanted } => {
            let at = if age_ms == UNKNOWN_AGE_MS {
                Moment::ZERO
            } else {
                now.before(Duration::from_millis(age_ms.into()))
            };
            Message::Ask {
                process: process.into(),
                change: Change { limit, at },
                cold: cold.map(|Cold { rate, remaining_ms }| dispatcher::Cold {
                    rate,
                    remaining: Duration::from_millis(remaining_ms.into()),
                }),
                asked: moment(asked_ns),
                wanted,
            }
        }
        Body::Grant { process, asked_ns, count } => {
            Message::Grant { process: process.into(), asked: moment(asked_ns), count }
        }
        Body::Turn { process, wait_ms } => {
            Message::Turn { process: process.into(), wait: Duration::from_millis(wait_ms.into()) }
        }
        _ => return None,
    })
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn nanos(moment: Moment) -> u64 {
    u64::try_from(moment.since_start().as_nanos()).unwrap_or(u64::MAX)
}

fn moment(nanos: u64) -> Moment {
    Moment::from_start(Duration::from_nanos(nanos))
}
