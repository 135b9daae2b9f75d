//! Catalogue of numbered log events.

use std::fmt;

/// Number of a log event, shown as `GW` and four digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EventCode(u16);

impl EventCode {
    /// Returns the catalogue entry of this event.
    pub fn info(self) -> Option<&'static EventInfo> {
        EVENT_CATALOGUE.iter().find(|info| info.code == self)
    }
}

impl fmt::Display for EventCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "GW{:04}", self.0)
    }
}

/// Catalogue entry of one event.
#[derive(Clone, Copy, Debug)]
pub struct EventInfo {
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
        pub const EVENT_CATALOGUE: &[EventInfo] = &[
            $(EventInfo {
                code: EventCode::$constant, name: $name, cause: $cause, action: $action,
            },)*
        ];
    };
}

events! {
    1001 PROCESS_STARTED "process-started": "A process has read its settings and opened its ports."; "None."
    1002 PROCESS_STOPPING "process-stopping": "A process received a stop signal and is finishing its work."; "None."
    1003 PROCESS_STOPPED "process-stopped": "A process has joined the threads that finished in time, and exits."; "None."
    1004 SETTINGS_REFUSED "settings-refused": "The settings file cannot be read or has faults, or the process ended with an error; the line gives the cause."; "Correct the cause; a process that has ended must be started again."
    1005 LOG_DROPPED "log-dropped": "A process exceeded its limit of log lines per second; the line gives the number dropped."; "Use the metrics to find the cause of the excess lines."
    1006 SETTINGS_READ "settings-read": "The settings were read again and have no faults; they take effect at the next start."; "None."
    1101 REQUEST_ADMITTED "request-admitted": "The filters accepted a request; it is queued for its tokens and an upstream."; "None."
    1102 REQUEST_REFUSED "request-refused": "A request was refused or failed; the line gives the code and whether the request may have been executed, or only a status if the request could not be read."; "Look up the code in OPERATIONS.md."
    1103 REQUEST_ROUTED "request-routed": "A request was assigned to an upstream; the line gives the version of its software, as far as it is known, and the event after which a stream resumes, the expected time to the first event, and what that is based on with its age."; "None."
    1104 REQUEST_DONE "request-done": "A response was sent to the caller to its end; the last write of a stream may have failed."; "None."
    1105 REQUEST_BROKEN "request-broken": "A streamed response failed after it had begun; it ended with an error event, or the connection was closed without the end of the response."; "Check the upstream to which the request was routed."
    1106 REQUEST_RETRIED "request-retried": "An attempt failed and the request waits for another one; the failed attempt was not executed, or the request may be executed more than once."; "Check the named upstream if this repeats."
    1107 CALLER_GONE "caller-gone": "The caller closed its connection or stopped reading before the whole response was sent; the request was ended."; "None."
    1108 ATTEMPT_BROKEN "attempt-broken": "The connection to an upstream broke during an attempt, or its response was malformed; the line gives how far the attempt got, whether the upstream was found to have ended, a digest that all repeats of the request share, and the parts of the prompt."; "Check the named upstream; if several upstreams are named with one digest or part in common, check what it makes them do."
    1109 UPSTREAM_CRASHED "upstream-crashed": "An upstream ended while a request was there whose answer had not or just begun; the line gives a digest that all repeats of the request share and the parts of its prompt, which are suspects. Several lines may be about one crash."; "None unless frequent; then look for GW1110 or check the upstreams."
    1110 PART_QUARANTINED "part-quarantined": "Several upstreams ended under one request, or as they began to answer prompts with one part; repeats of the request, or requests with the part, are refused."; "Find out what it makes the upstreams do; nothing else is needed, the quarantine ends once a trial is served."
    1111 PART_RELEASED "part-released": "A quarantined request, or one with a quarantined part, was served, or the record of the quarantine was deleted; such requests are no longer refused."; "None."
    1112 QUARANTINE_TRIED "quarantine-tried": "A quarantined request, or one with a quarantined part, is let through to find out whether it still ends upstreams."; "None."
    1113 STREAM_TAKEN_UP "stream-taken-up": "A caller asks for the rest of a stream, or a stream goes on within its response; the line says which version began it, or why nobody knows."; "None unless unknown is frequent; then check whether entries reach each other and the key-value service."
    1114 BODY_REFUSED "body-refused": "There is no memory for the body of a request, which is refused as not run; the line gives the announced length and the bytes that are in use and that wait."; "None if it is rare; otherwise find the clients that send large bodies, or give the VM more memory."
    1115 BODY_GIVEN_UP "body-given-up": "A body of a request didn't arrive whole in time, so its memory was released; the line gives the bytes that had arrived."; "None unless frequent; then find the clients that stop sending."
    1116 CONNECTION_REFUSED "connection-refused": "A connection was closed at once, since as many are open as the memory and the descriptors of the VM allow."; "Find the clients that keep connections open, or give the VM more memory or descriptors."
    1117 UPSTREAM_RETURNED "upstream-returned": "The report of an upstream names another start than its registration; no stream goes on there until it is listed anew."; "None unless it lasts; then check whether the upstream renews its registration."
    1118 END_UNCERTAIN "end-uncertain": "A response ended with its connection, and the report of its upstream doesn't show that the upstream has not ended; it isn't taken for whole."; "Check the named upstream if this repeats."
    1119 RESPONSE_INVALID "response-invalid": "A response of another server is invalid or not whole; the line gives the kind of the call, the server and the check that it failed. The call may have been carried out."; "Check the named server; OPERATIONS.md has the checks."
    1201 CONFIG_IN_FORCE "config-in-force": "A configuration version took effect in this process."; "None."
    1202 CONFIG_STALE "config-stale": "Neither the key-value service nor a peer confirms the configuration."; "Check the key-value service and the network of this VM."
    1203 CONFIG_PUBLISHED "config-published": "An operator published a configuration."; "None."
    1204 CONFIG_DAMAGED "config-damaged": "A stored configuration could not be decoded, refers to unknown objects or has a route without a service."; "Publish the whole configuration again."
    1205 DOMAINS_DRAINED "domains-drained": "The operators drained failure domains or returned them to service; the line lists the drained ones."; "None."
    1206 MEMBERS_CHANGED "members-changed": "The number of fleet entries registered in the key-value service has changed."; "None."
    1207 OPERATORS_READ "operators-read": "Records of the operators were read, or a watch delivered changed ones; the line gives the revision of the key-value service and how long the call waited."; "None."
    1208 CONFIG_OUTDATED "config-outdated": "A record with a configuration older than the one in force was read and ignored."; "None if a newer version is stored soon; otherwise publish the configuration again."
    1301 SEAT_TAKEN "seat-taken": "This process became the acting holder of a seat or of the hub's lease."; "None."
    1302 SEAT_LOST "seat-lost": "This process stopped acting as the holder of a seat or of the hub's lease."; "None if another process takes over."
    1303 SEAT_RELEASED "seat-released": "A stopping process gave up its claim to a seat or to the hub's lease, or the hub notified a possible successor."; "None."
    1304 SEAT_OUTAGE "seat-outage": "The holder acts although its lease has expired, because no elector reaches the key-value service either."; "Check the key-value service."
    1305 SEAT_FENCED "seat-fenced": "An engine has seen a higher fencing number, so this process stops sending orders."; "None if another process holds the hub's lease."
    1306 HUB_KNOWN "hub-known": "This entry learned of a new hub."; "None."
    1307 HUB_SILENT "hub-silent": "The hub does not reply; this entry uses only its equal share of each limit."; "Check the most recently named hub and the network between the VMs."
    1308 USE_KNOWN "use-known": "A hub told this entry what all others used of the quotas lately; the line gives of how many entries it knows that."; "None."
    1401 LOAD_ORDERED "load-ordered": "Placement decided to load a model or adapter on an upstream."; "None."
    1402 LOAD_DONE "load-done": "An upstream confirmed a load or an unload."; "None."
    1403 LOAD_FAILED "load-failed": "An upstream refused a load or an unload, or the outcome is unknown."; "Check the upstream and the weight store."
    1404 UNLOAD_ORDERED "unload-ordered": "Placement decided to unload an idle model or adapter to free its memory."; "None."
    1405 UPSTREAM_LOST "upstream-lost": "An upstream does not reply to status calls, or its registration was removed while it was ready."; "Check the upstream unless it was removed on purpose."
    1406 UPSTREAM_SEEN "upstream-seen": "An upstream replies to status calls for the first time or again, or its registration is new, has a new state or states a new start; the line says whether this process read it or the hub listed it."; "None."
    1407 UPSTREAM_RESTARTED "upstream-restarted": "An upstream has a new boot id and lost its memory contents."; "None."
    1408 ORDER_SENT "order-sent": "The hub is about to send an order to an engine."; "None."
    1409 ORDER_ENDED "order-ended": "An engine replied to an order, or the order ended without a reply."; "Check the upstream if it did not reply."
    1410 LIMIT_CHANGED "limit-changed": "An upstream names another limit of requests per second for all entries together, or none any more."; "Check the upstream if it lasts."
    1411 UPSTREAM_NOTICE "upstream-notice": "An upstream stated in a response that it is leaving, or it turned a request away and wants none from this entry for the time in the line."; "None unless it lasts; then check the upstream."
    1412 VERSION_KNOWN "version-known": "The hub told this entry the version of an upstream that it had listed."; "None."
    1413 LOAD_REPORTED "load-reported": "A response of an upstream reports its load, for the first time or after 30 s without; the line gives running and waiting requests, slots, and how long work takes there in percent of the usual time."; "None."
    1415 LOAD_MISSING "load-missing": "An engine ended a load, but has not loaded the model; another engine gets it, and this one none of it for 10 s."; "Check the upstream and the weight store."
    1416 STORE_PLACES "store-places": "The hub found that the weight store serves another number of loads at full speed than it took it to."; "Check the weight store if the number falls."
    1501 GRANT_VOID "grant-void": "A grant, a placement reply or a summary of the hub arrived late, twice or from a former holder and was ignored."; "None unless frequent."
    1502 DATAGRAM_REFUSED "datagram-refused": "A datagram failed authentication or decoding."; "Check the cluster key of the sender."
    1601 PLATFORM_LOST "platform-lost": "Calls to the key-value service fail or return malformed records; on the users' platform the line gives how long the failed call waited."; "Check the key-value service."
    1602 PLATFORM_BACK "platform-back": "Calls to the key-value service succeed again."; "None."
    1603 VM_LIST_LOST "vm-list-lost": "The list of VMs could not be read from its service."; "Check the VM list service."
    1604 STORE_RESTORED "store-restored": "The key-value service names another era: it was restored from a copy and may have lost records. The line gives both eras."; "None; operators' records that were lost must be written again."
    1605 READ_IGNORED "read-ignored": "A read of the key-value service was ignored, since it is older than an earlier one."; "None unless it lasts; then check the key-value service."
    1606 RECORD_IGNORED "record-ignored": "A record in the key-value service can't be read and is ignored, as if it weren't there; the line is written once for each change of the record, or for each read if the service itself sent what can't be read."; "Find out who wrote the record; remove or correct it."
    1701 USAGE_FIXED "usage-fixed": "The hub stored how many requests of each organisation began to run in a window; the line gives the window, the sum and the number of organisations."; "None."
    1702 USAGE_REPORTED "usage-reported": "The platform confirmed the report of a window; the line says how long after the end of the window."; "None."
    1703 USAGE_MISSED "usage-missed": "The counts of one or more windows were not fixed in time, or their report was not confirmed in time; the line gives the windows and the cause."; "Look for GW1601 (key-value service) and GW1705 (platform) at the hub."
    1704 DUTY_REFUSED "duty-refused": "The platform has seen a higher fencing number for a duty, so this process makes no more calls with its own."; "None if another process holds the hub's lease."
    1705 DUTY_FAILED "duty-failed": "A call to the platform's API had no response or another one than success, and is repeated; the line gives the reply."; "Check the platform's API."
    1706 USAGE_ADOPTED "usage-adopted": "A new hub read the stored reports of its predecessors; the line gives how many of them it sends again."; "None."
}
