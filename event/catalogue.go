package event

import "log/slog"

// The catalogue. Numbers 1xx are process events, 2xx configuration and
// membership, 3xx requests and backend servers, 4xx the platform, and 5xx the
// edge instances.
var (
	Started = Event{
		101, slog.LevelInfo, "instance started",
		"The process listens on its addresses and has announced itself.", "Nothing.",
	}
	Stopping = Event{
		102, slog.LevelInfo, "planned stop begun",
		"The instance is draining: it is no longer advertised to callers and completes its requests.", "Nothing.",
	}
	Stopped = Event{
		103, slog.LevelInfo, "instance stopped",
		"The planned stop is complete; `cut` is the number of requests it aborted.", "If `cut` isn't 0, raise the stop settings.",
	}
	ComponentFailed = Event{
		104, slog.LevelError, "part failed and is restarted",
		"A supervised part of the process ended with an error.", "Report it with the line's `error`.",
	}
	InvariantBroken = Event{
		105, slog.LevelError, "invariant broken, process stops",
		"The instance's state is inconsistent; it stops rather than make decisions based on it.", "Report it; the platform replaces the instance.",
	}

	ConfirmationChanged = Event{
		201, slog.LevelInfo, "confirmation changed",
		"The source that confirms this instance's configuration as the newest has changed: table, witnesses or nothing.",
		"On `cut-off` for more than a minute, check the network between this instance, its peers and the platform.",
	}
	HandshakeFailed = Event{
		203, slog.LevelWarn, "peer connection refused",
		"A client connected to the peer address without the fleet's secret.", "Check the sender's secret and identity.",
	}

	ServerEjected = Event{
		301, slog.LevelWarn, "backend server ejected",
		"A permit keeps a backend server out of use fleet-wide.", "Check the server; it returns automatically once its probes succeed.",
	}
	ServerReturned = Event{
		302, slog.LevelInfo, "backend server returned",
		"An ejected backend server is used again, at a reduced rate at first.", "Nothing.",
	}
	ShardWritten = Event{
		303, slog.LevelInfo, "shard parts moved",
		"This instance wrote a new allocation of a shard's rate and burst.", "Nothing.",
	}

	PlatformUnavailable = Event{
		401, slog.LevelWarn, "platform gives no answer",
		"Reads or writes of the platform's table fail. Requests are still served under the last accepted configuration. An edge instance logs `age_ms` since the last answer, if there was one, and its `uptime_ms`.",
		"Check the platform. No keys or lists can change meanwhile.",
	}
	PlatformReturned = Event{
		402, slog.LevelInfo, "platform answers again",
		"The platform's table answers after an outage.", "Nothing.",
	}
	RecordsDropped = Event{
		403, slog.LevelWarn, "decision records dropped",
		"Decision records didn't fit in memory before the object store took them.", "Check the object store; `explain` misses `count` requests.",
	}

	EdgeStarted = Event{
		501, slog.LevelInfo, "edge instance started",
		"The process listens on its addresses; it serves once it knows a configuration.", "Nothing.",
	}
	EdgeStopping = Event{
		502, slog.LevelInfo, "edge instance stops",
		"A planned stop: the instance is no longer advertised to callers and completes its requests.", "Nothing.",
	}
	EdgeStopped = Event{
		503, slog.LevelInfo, "edge instance stopped",
		"The planned stop is complete; `cut` requests were still in progress.", "If `cut` isn't 0, see which servers were slow.",
	}
	SettingsReloaded = Event{
		504, slog.LevelInfo, "settings reloaded",
		"The settings file has changed and the new settings are in force.", "Nothing.",
	}
	SettingsRejected = Event{
		505, slog.LevelError, "settings rejected",
		"The changed settings file is invalid; the previous settings stay in force.", "Correct the field that `error` names.",
	}
	ConfigInForce = Event{
		511, slog.LevelInfo, "configuration in force",
		"This instance now applies a new configuration. `source` is the store or the instance that it came from, `age_ms` the age of the read, and `announced_ms` the time since another instance announced it.", "Nothing.",
	}
	ConfigRejected = Event{
		512, slog.LevelError, "configuration not understood",
		"The newest configuration in the store can't be read; requests with keys are refused once its age can't be verified.", "Correct the configuration that the operator wrote.",
	}
	ServerChanged = Event{
		513, slog.LevelInfo, "backend server's entry changed",
		"A backend server was added, is draining, or was removed.", "Nothing.",
	}
	EntryIgnored = Event{
		514, slog.LevelWarn, "entry ignored",
		"An entry in the store does not identify a usable server or instance.", "Find out who wrote it.",
	}
	StoreCallFailed = Event{
		515, slog.LevelWarn, "call of the store failed",
		"A call of this instance to the store got no usable response. Other instances continue to call it.", "If only one instance logs this, check its network.",
	}
	EvacuationStarted = Event{
		516, slog.LevelWarn, "data centre evacuated",
		"Operators evacuated data centre `evacuated`: this instance sends no new requests to its backend servers.", "Nothing, if it was meant. It ends when the operators revert the evacuation.",
	}
	EvacuationEnded = Event{
		517, slog.LevelInfo, "data centre taken back",
		"Backend servers of data centre `evacuated` are used again, treated as cold at first.", "Nothing.",
	}
	ServerLimited = Event{
		518, slog.LevelWarn, "backend server's limit changed",
		"A backend server's responses report a `limit` (requests per second from all instances) that differs from `before`; 0 means no limit. The instances jointly enforce it.", "Find out what the server is short of.",
	}
	StaleResponseIgnored = Event{
		519, slog.LevelWarn, "answer of the store ignored",
		"A response for `table`, from the store or forwarded by another instance, has `version`, which is older than `known`.", "One or two at a time are delayed responses. If they persist, compare the store's versions with those that the instances know.",
	}
	StoreRestored = Event{
		520, slog.LevelWarn, "store came back from a copy",
		"The store is in `era` now, after `before`; writes that it confirmed after the copy was made may be missing until they are written again. All tables are reread.", "If it wasn't a drill, find out what the store has lost.",
	}
	PeerReachable = Event{
		521, slog.LevelInfo, "instance heard",
		"A message arrived from another instance, for the first time or after silence.", "Nothing.",
	}
	PeerUnreachable = Event{
		522, slog.LevelWarn, "instance silent",
		"No message has arrived from another instance for `silence`; it isn't advertised to callers, and its share of the rates isn't counted.", "Check the instance unless it was stopped deliberately.",
	}
	PeerMessageFailed = Event{
		523, slog.LevelWarn, "message between instances failed",
		"A message couldn't be decoded or encoded, or a call of another instance failed: `method` says which, `took_ms` after what time.", "If messages can't be decoded, check whether all instances run the same version; if calls fail, check the network and the load of `peer`.",
	}
	RelayChanged = Event{
		524, slog.LevelInfo, "relay changed",
		"This instance now sends its messages to `relay`, which forwards them to all others: the previous relay `before` is silent, is draining, or didn't echo a message, or a better one is known.", "If it changes again and again, check the network between these instances.",
	}
	ServerBackoff = Event{
		525, slog.LevelWarn, "backend server asked to back off",
		"A backend server rejected a request of this instance with Retry-After; this instance sends it nothing for `retry_after_ms`.", "If many instances log it, the server is short of capacity: see what else it serves.",
	}
	ServerLeaving = Event{
		526, slog.LevelInfo, "backend server announced its stop",
		"A response of a backend server announced that it is about to stop, and its entry in the store isn't draining yet; this instance sends it no new requests.", "Nothing.",
	}
	ServersUnreachable = Event{
		527, slog.LevelWarn, "no connection to backend servers",
		"This instance failed to open connections to several backend servers in a row; `error` is the last cause.", "If other instances reach the servers, check this machine's network; if none does, check the servers.",
	}
	ServersReachable = Event{
		528, slog.LevelInfo, "connection to a backend server opened again",
		"A connection to a backend server was opened after none could be for `after_ms`.", "Nothing.",
	}
	ProcessStalled = Event{
		529, slog.LevelWarn, "process stalled",
		"The process did not run for `for_ms`: it was starved of processor time, swapped out, or its machine was suspended. `age_ms` is the age of the proof that its configuration is the newest.", "If it happens again and again, give the machine more processor time or memory.",
	}
	RequestEnded = Event{
		531, slog.LevelInfo, "request ended",
		"A caller's request was answered: `status` and `rule` say how, the other fields by which figures. `replaced_ms` is there if the instance knew, for that long, that its configuration was replaced; `expired_because` if the proofs of its copies were older than allowed, and `own_read_ms` then is the time since its last complete read of the store.", "See OPERATIONS.md; `foxtailspoke-edge explain` summarises these lines.",
	}
	AttemptEnded = Event{
		532, slog.LevelInfo, "attempt ended",
		"One attempt at a backend server ended: the expected and the actual result. If a retry was considered, `window_requests` and `window_retries` are the fleet's requests and retries of the service in the last 11 s, as this instance counts them, `retries_allowed` is what it allows for them, and `coverage` the share of the instances whose attempts it counts now. The result `misdirected` means that another server has the address. If the server may have ended, `fingerprint` identifies the request, also when it is sent again, and `server_ended` says whether the server then refused connections.", "See OPERATIONS.md.",
	}
	LogLinesDropped = Event{
		533, slog.LevelWarn, "log lines left out",
		"Log lines exceeded the rate limit; `count` have been left out since the start.", "Raise log.linesPerSecond if they are needed.",
	}
	ServerEndedUnderRequest = Event{
		535, slog.LevelWarn, "backend server ended under a request",
		"The process of a backend server ended while it worked on a request: `proof` says how that is known, `fingerprint` identifies the request, `ends` is the number of servers that have ended under it since it was last served. `withheld` requests aren't sent to servers for some time.", "See OPERATIONS.md; if the same request ends several servers, find what it does there.",
	}
	AdmissionChanged = Event{
		536, slog.LevelWarn, "admission to a service changed",
		"Servers of `service` are full, so that this instance admits only `share` of its requests (`rank_shares` by priority), or, with `active` false, admits all again. `rejected_by_full` is the share of the attempts of all instances that full servers rejected in the last two seconds, `utilization` the number of outstanding requests for each slot, `demand` that of requests per second.",
		"See OPERATIONS.md; if it lasts, the service needs more servers.",
	}
	CallerCutOff = Event{
		537, slog.LevelWarn, "caller disconnected",
		"A caller, `caller`, accepted and acknowledged nothing of its response for 5 s; this instance closed the connection and freed the bytes.", "Look at the caller: it has stopped reading, or its network is down.",
	}
	HeadRefused = Event{
		541, slog.LevelWarn, "head refused",
		"The headers of a request of `caller` didn't fit into the memory for them, of which others take `held` bytes; it was answered with 503 as not run, and its connection closed.", "Look at the caller, and at those that hold the memory: ordinary requests take some KB.",
	}
	ConnectionEvicted = Event{
		542, slog.LevelWarn, "connection closed for another one",
		"A port had as many connections as it accepts; the one of `caller` was closed. Those that never had a request go first, then idle ones, then those on which the body of a request is still arriving; if all have a request in progress, the new one is closed.", "Look at the callers' connections; `maxDescriptors` and `memoryMB` decide how many there may be.",
	}
	ServersBounded = Event{
		538, slog.LevelWarn, "bytes of a service's servers bounded",
		"Backend server `server` ended while it held `held_kb` of requests. For a minute no server of `service` gets a request that would bring it above `limit_kb`; the bound then doubles each minute and is lifted after three.", "If it happens again and again, give the servers more memory or fewer slots.",
	}
	RetryHistoryAdopted = Event{
		534, slog.LevelInfo, "retry counts taken over from a peer",
		"This instance lacked a part of the fleet's retry counts, as it has just started or was partitioned, and took over those of `peer`. `coverage` is the lowest share of the instances that these counts include. `buckets` is the number of workspaces whose tokens it took over as well.", "Nothing.",
	}
	ConfigNotFetched = Event{
		540, slog.LevelWarn, "newer configuration not fetched yet",
		"This instance knows that its configuration was replaced, `replaced_ms` ago, and neither the store nor another instance has given it the newer one. `round_ms` is how long it tried this time, `own_read_ms` the time since its last complete read of the store.",
		"If it lasts, check the network between this instance, the others and the store.",
	}
	LeavingShareChanged = Event{
		539, slog.LevelInfo, "share of requests that leaves the data centre changed",
		"By plan, `share` of this data centre's requests to `service` is sent to other data centres, instead of `before`. `reason` is \"no capacity\" if `demand` (requests per second) is above what the local servers usually take of their `capacity`, \"few servers\" if they are so few that requests would often wait below that, \"none\" if the share ends.", "If it lasts, add servers in this data centre.",
	}
)

// All returns the catalogue in the order of the numbers.
func All() []Event {
	return []Event{
		Started, Stopping, Stopped, ComponentFailed, InvariantBroken,
		ConfirmationChanged, HandshakeFailed,
		ServerEjected, ServerReturned, ShardWritten,
		PlatformUnavailable, PlatformReturned, RecordsDropped,
		EdgeStarted, EdgeStopping, EdgeStopped, SettingsReloaded, SettingsRejected,
		ConfigInForce, ConfigRejected, ServerChanged, EntryIgnored, StoreCallFailed,
		EvacuationStarted, EvacuationEnded, ServerLimited, StaleResponseIgnored, StoreRestored,
		PeerReachable, PeerUnreachable, PeerMessageFailed, RelayChanged, ServerBackoff, ServerLeaving, ServersUnreachable, ServersReachable, ProcessStalled,
		RequestEnded, AttemptEnded, LogLinesDropped, RetryHistoryAdopted, ServerEndedUnderRequest, AdmissionChanged,
		CallerCutOff, ServersBounded, LeavingShareChanged, ConfigNotFetched, HeadRefused, ConnectionEvicted,
	}
}
