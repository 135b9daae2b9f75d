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

/// Catalogue entry of one event.
#[derive(Clone, Copy, Debug)]
pub struct EventEntry {
    /// Number of the event.
    pub code: EventCode,
    /// Short name of the event.
    pub name: &'static str,
    /// What causes the event.
    pub cause: &'static str,
    /// What an operator should do about it.
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
    1002 PROCESS_STOPPING "process-stopping": "A process was told to stop and is finishing its work."; "None."
    1003 PROCESS_STOPPED "process-stopped": "A process has joined its threads and exits."; "None."
    1004 SETTINGS_REFUSED "settings-refused": "The settings file has faults."; "Correct the listed lines and start again."
    1005 LOG_DROPPED "log-dropped": "A process logged more lines in a second than it writes; the line gives the number of dropped ones."; "Use the metrics to find the cause of the excess lines."
    1006 SETTINGS_READ "settings-read": "The settings were read again and have no faults; they take effect at the next start."; "None."
    1101 REQUEST_ADMITTED "request-admitted": "The filters accepted a request and reserved its tokens."; "None."
    1102 REQUEST_REFUSED "request-refused": "A filter refused a request; the line gives the reason and whether the request ran."; "See the reason in OPERATIONS.md."
    1103 REQUEST_ROUTED "request-routed": "A request was assigned to an upstream."; "None."
    1104 REQUEST_DONE "request-done": "The whole response was sent to the caller."; "None."
    1105 REQUEST_BROKEN "request-broken": "A response failed after its first byte; the stream ended with an error event."; "Check the upstream named."
    1106 REQUEST_RETRIED "request-retried": "An attempt was proven not to have run, and another one follows."; "Check the upstream named if it repeats."
    1107 CALLER_GONE "caller-gone": "The caller closed its connection; the upstream call was cancelled."; "None."
    1201 CONFIG_IN_FORCE "config-in-force": "A configuration version took effect in this process."; "None."
    1202 CONFIG_STALE "config-stale": "Neither the key-value service nor a peer confirms the configuration."; "Check the key-value service and the network of this VM."
    1203 CONFIG_PUBLISHED "config-published": "An operator published a configuration."; "None."
    1204 CONFIG_DAMAGED "config-damaged": "A stored configuration could not be decoded."; "Publish the whole configuration again."
    1205 DOMAINS_DRAINED "domains-drained": "The operators drained failure domains or returned them to service; the line lists the drained ones."; "None."
    1206 MEMBERS_CHANGED "members-changed": "The number of entries in the key-value service has changed."; "None."
    1301 SEAT_TAKEN "seat-taken": "This process became the holder of a seat."; "None."
    1302 SEAT_LOST "seat-lost": "This process stopped acting for a seat."; "None if another process takes it."
    1303 SEAT_RELEASED "seat-released": "This process handed over a seat while it was stopping."; "None."
    1304 SEAT_OUTAGE "seat-outage": "The holder keeps acting after its lease expired because no elector reaches the key-value service either."; "Check the key-value service."
    1305 SEAT_FENCED "seat-fenced": "An engine has seen a higher fencing number, so this process stops giving orders."; "None if another process holds the seat."
    1306 HUB_KNOWN "hub-known": "This entry learned of a new hub."; "None."
    1307 HUB_SILENT "hub-silent": "The hub does not answer; this entry limits itself to its own fraction of all shares."; "Check the most recently named hub and the network between the VMs."
    1401 LOAD_ORDERED "load-ordered": "Placement decided to load an object on an upstream."; "None."
    1402 LOAD_DONE "load-done": "An upstream confirmed a load or an unload."; "None."
    1403 LOAD_FAILED "load-failed": "An upstream refused or failed a load."; "Check the upstream and the weight store."
    1404 UNLOAD_ORDERED "unload-ordered": "Placement decided to unload an idle object to free its memory."; "None."
    1405 UPSTREAM_LOST "upstream-lost": "An upstream no longer answers status calls."; "Check the upstream."
    1406 UPSTREAM_SEEN "upstream-seen": "An upstream answers status calls for the first time or again."; "None."
    1407 UPSTREAM_RESTARTED "upstream-restarted": "An upstream has a new boot id and lost its memory contents."; "None."
    1408 ORDER_SENT "order-sent": "The hub sent an order to an engine."; "None."
    1409 ORDER_ENDED "order-ended": "An engine answered an order, or did not answer."; "Check the upstream if it does not answer."
    1501 GRANT_VOID "grant-void": "A grant arrived late, twice or from a former holder and was ignored."; "None unless frequent."
    1502 DATAGRAM_REFUSED "datagram-refused": "A datagram failed authentication or decoding."; "Check the cluster key of the sender."
    1601 PLATFORM_LOST "platform-lost": "The key-value service does not answer."; "Check the key-value service."
    1602 PLATFORM_BACK "platform-back": "The key-value service answers again."; "None."
    1603 VM_LIST_LOST "vm-list-lost": "The service that lists VMs does not answer."; "Check the VM list service."
}
