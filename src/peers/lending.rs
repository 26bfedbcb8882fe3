//! Messages about loans of task slots between instances of a failure domain.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::MissedTickBehavior;
use trefoil_core::engine::{Recipient, SlotMessage, SlotMessageBody, WorkerSlots};
use trefoil_core::view::Member;
use trefoil_schema::peer::message::Body;
use trefoil_schema::peer::{InstanceRef, LentSlots, SlotGrant, SlotRequest};

use super::Peers;

/// Interval at which slots are balanced.
const BALANCE_INTERVAL: Duration = Duration::from_millis(10);
/// `lease_ms` of a grant that returns borrowed slots.
const RETURNED: u64 = 0;

impl Peers {
    /// Requests and returns slots until the process ends.
    pub(super) async fn run_slot_balancing(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(BALANCE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            for message in self.context.runtime.balance_slots() {
                self.send_slots(message);
            }
        }
    }

    /// Sends a request or a return of slots. A lost request delays tasks; slots whose
    /// return is lost are unused until their loan expires.
    fn send_slots(&self, message: SlotMessage) {
        let service = message.service.to_string();
        let body = match message.body {
            SlotMessageBody::Request(slots) => Body::SlotRequest(SlotRequest { service, slots }),
            SlotMessageBody::Return(returned) => Body::SlotGrant(SlotGrant {
                service,
                slots: encode(returned),
                lease_ms: RETURNED,
            }),
        };
        let to = match message.to {
            Recipient::Incarnation(member) => Some(member),
            Recipient::Current(name) => self.domain_member(&name),
        };
        if let Some(to) = to {
            let _ = self.links.send(&InstanceRef::from(&to), body);
        }
    }

    /// The member of the newest view of this failure domain with this name.
    fn domain_member(&self, name: &str) -> Option<Member> {
        let membership = self.membership();
        let newest = membership.view_log(&self.domain)?.log.newest()?;
        let mut members = newest.members.iter();
        members.find(|member| member.name == name).cloned()
    }

    /// Answers a peer's request for slots, also if none can be lent.
    pub(super) fn serve_slot_request(&self, from: &InstanceRef, request: SlotRequest) {
        let runtime = &self.context.runtime;
        let lent = runtime.engine().lend_slots(
            runtime.now(),
            &from.into(),
            &request.service,
            request.slots,
        );
        let grant = SlotGrant {
            service: request.service,
            slots: encode(lent),
            lease_ms: self.context.settings.placement.loan_ms.max(1),
        };
        let _ = self.links.send(from, Body::SlotGrant(grant));
    }

    /// Accepts slots that a peer lends or returns.
    pub(super) fn accept_slot_grant(&self, from: &InstanceRef, grant: SlotGrant) {
        let runtime = &self.context.runtime;
        let peer = Member::from(from);
        let slots: Vec<_> = grant.slots.into_iter().map(decode).collect();
        match grant.lease_ms {
            RETURNED => runtime.reclaim_slots(&peer, &grant.service, &slots),
            loan_ms => runtime.borrow_slots(&peer, &grant.service, &slots, loan_ms),
        }
    }
}

fn encode(slots: Vec<WorkerSlots>) -> Vec<LentSlots> {
    let encode = |slots: WorkerSlots| LentSlots {
        worker: slots.worker.to_string(),
        slots: slots.slots,
    };
    slots.into_iter().map(encode).collect()
}

fn decode(slots: LentSlots) -> WorkerSlots {
    WorkerSlots {
        worker: slots.worker.into(),
        slots: slots.slots,
    }
}
