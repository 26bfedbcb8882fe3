//! Loans of task slots, as messages between the failure domain's instances.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::MissedTickBehavior;
use trefoil_core::engine::{SlotMessage, SlotMessageBody, WorkerSlots};
use trefoil_schema::peer::message::Body;
use trefoil_schema::peer::{InstanceRef, LentSlots, SlotGrant, SlotRequest};

use super::Peers;

/// Period of looks at what is idle and what lacks.
const PERIOD: Duration = Duration::from_millis(10);
/// Lease of a grant that gives borrowed slots back.
const RETURNED: u64 = 0;

impl Peers {
    /// Asks for slots and returns them, until the process ends.
    pub(super) async fn balance_forever(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            for message in self.context.runtime.balance() {
                self.send_slots(message);
            }
        }
    }

    /// A message that is lost costs a wait, or a slot until its loan ends.
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
        let _ = self.links.send(&message.to, body);
    }

    /// Answers a peer that asks for slots, also if there are none.
    pub(super) fn serve_slot_request(&self, from: &InstanceRef, request: SlotRequest) {
        let runtime = &self.context.runtime;
        let lent =
            runtime
                .engine()
                .lend_slots(runtime.now(), &from.name, &request.service, request.slots);
        let grant = SlotGrant {
            service: request.service,
            slots: encode(lent),
            lease_ms: self.context.settings.placement.loan_ms.max(1),
        };
        let _ = self.links.send(&from.name, Body::SlotGrant(grant));
    }

    /// Takes slots that a peer lends or returns.
    pub(super) fn take_slot_grant(&self, from: &InstanceRef, grant: SlotGrant) {
        let runtime = &self.context.runtime;
        let slots: Vec<_> = grant.slots.into_iter().map(decode).collect();
        match grant.lease_ms {
            RETURNED => runtime.take_back_slots(&from.name, &grant.service, &slots),
            loan_ms => runtime.borrow_slots(&from.name, &grant.service, &slots, loan_ms),
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
