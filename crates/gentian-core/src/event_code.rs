//! Catalogue of numbered log events.

use std::fmt;

/// Number of a log event, shown as `GW` and four digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EventCode(u16);

impl EventCode {
    /// Returns the catalogue entry of this event.
    pub fn entry(self) -> Option<&'static EventEntry> {
        EVENT_CATALOGUE.iter().find(|entry| entry.code == self)
    }
}

impl fmt::Display for EventCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "GW{:04}", self.0)
    }
}

/// What the catalogue says of one event.
#[derive(Clone, Copy, Debug)]
pub struct EventEntry {
    /// Number of the event.
    pub code: EventCode,
    /// Short name of the event.
    pub name: &'static str,
    /// What makes the event happen.
    pub cause: &'static str,
    /// What an operator does about it.
    pub action: &'static str,
}

macro_rules! events {
    ($($number:literal $constant:ident $name:literal: $cause:literal; $action:literal)*) => {
        impl EventCode {
            $(#[doc = $cause] pub const $constant: Self = Self($number);)*
        }

        /// Every event, in the order of its number.
        pub const EVENT_CATALOGUE: &[EventEntry] = &[
            $(EventEntry {
                code: EventCode::$constant, name: $name, cause: $cause, action: $action,
            },)*
        ];
    };
}

events! {
    1001 PROCESS_STARTED "process-started": "A process has read its settings and opened its ports."; "None."
    1002 PROCESS_STOPPING "process-stopping": "A process was asked to stop and finishes its work."; "None."
    1003 PROCESS_STOPPED "process-stopped": "A process has joined its threads and ends."; "None."
    1004 SETTINGS_REFUSED "settings-refused": "The settings file has faults."; "Mend the listed lines and start again."
    1005 LOG_DROPPED "log-dropped": "More lines than a process writes in a second; the number of dropped ones is given."; "Find the flood by the metrics."
    1006 SETTINGS_READ "settings-read": "The settings were read again and have no faults; the next start takes them over."; "None."
    1101 REQUEST_ADMITTED "request-admitted": "The filters accepted a request and reserved its tokens."; "None."
    1102 REQUEST_REFUSED "request-refused": "A filter refused a request; the reason and whether it ran are given."; "See the reason in OPERATIONS.md."
    1103 REQUEST_ROUTED "request-routed": "A request was given to an upstream."; "None."
    1104 REQUEST_DONE "request-done": "The whole answer went to the caller."; "None."
    1105 REQUEST_BROKEN "request-broken": "An answer broke after its first byte; the stream ended with an error event."; "Check the upstream named."
    1106 REQUEST_RETRIED "request-retried": "An attempt was proven not run and another follows."; "Check the upstream named if it repeats."
    1107 CALLER_GONE "caller-gone": "The caller closed its connection; the upstream call was cancelled."; "None."
    1201 CONFIG_IN_FORCE "config-in-force": "A configuration version took effect in this process."; "None."
    1202 CONFIG_STALE "config-stale": "Neither the key-value service nor a peer confirms the configuration."; "Check the key-value service and the network of this VM."
    1203 CONFIG_PUBLISHED "config-published": "An operator published a configuration."; "None."
    1204 CONFIG_DAMAGED "config-damaged": "A stored configuration could not be read."; "Publish a whole configuration again."
    1205 DOMAINS_DRAINED "domains-drained": "The operators took failure domains out or back; the ones out are listed."; "None."
    1206 MEMBERS_CHANGED "members-changed": "The number of entries in the key-value service has changed."; "None."
    1301 SEAT_TAKEN "seat-taken": "This process became the holder of a seat."; "None."
    1302 SEAT_LOST "seat-lost": "This process stopped acting for a seat."; "None if another process takes it."
    1303 SEAT_RELEASED "seat-released": "This process handed a seat over while it stopped."; "None."
    1304 SEAT_OUTAGE "seat-outage": "The holder acts past its lease because no elector has contact either."; "Check the key-value service."
    1305 SEAT_FENCED "seat-fenced": "An engine has seen a higher fencing number, so this process stops giving orders."; "None if another process holds the seat."
    1306 HUB_KNOWN "hub-known": "This entry learned of a new hub."; "None."
    1307 HUB_SILENT "hub-silent": "The hub does not answer; this entry keeps to its own part of all shares."; "Check the hub named last and the network between the VMs."
    1401 LOAD_ORDERED "load-ordered": "Placement decided a load on an upstream."; "None."
    1402 LOAD_DONE "load-done": "An upstream confirmed a load or an unload."; "None."
    1403 LOAD_FAILED "load-failed": "An upstream refused or failed a load."; "Check the upstream and the weight store."
    1404 UNLOAD_ORDERED "unload-ordered": "Placement decided to free memory of an idle object."; "None."
    1405 UPSTREAM_LOST "upstream-lost": "An upstream no longer answers status calls."; "Check the upstream."
    1406 UPSTREAM_SEEN "upstream-seen": "An upstream answers status calls, first or again."; "None."
    1407 UPSTREAM_RESTARTED "upstream-restarted": "An upstream changed its boot id and lost its memory."; "None."
    1408 ORDER_SENT "order-sent": "The hub gave an order to an engine."; "None."
    1409 ORDER_ENDED "order-ended": "An engine answered an order, or did not answer."; "Check the upstream if it does not answer."
    1501 GRANT_VOID "grant-void": "A grant arrived late, twice or from an old holder and was ignored."; "None unless frequent."
    1502 DATAGRAM_REFUSED "datagram-refused": "A datagram failed authentication or decoding."; "Check the cluster key of the sender."
    1601 PLATFORM_LOST "platform-lost": "The key-value service does not answer."; "Check the key-value service."
    1602 PLATFORM_BACK "platform-back": "The key-value service answers again."; "None."
    1603 VM_LIST_LOST "vm-list-lost": "The list of VMs does not answer."; "Check the list service."
}
