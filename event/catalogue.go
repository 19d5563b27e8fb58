package event

import "log/slog"

// The catalogue. 1xx is the process, 2xx the configuration and membership,
// 3xx requests and backend servers, 4xx the platform, 5xx the edge instances.
var (
	Started = Event{
		101, slog.LevelInfo, "instance started",
		"The process listens on its addresses and has announced itself.", "Nothing.",
	}
	Stopping = Event{
		102, slog.LevelInfo, "planned stop begun",
		"The instance leaves: it is no longer named to callers and finishes its requests.", "Nothing.",
	}
	Stopped = Event{
		103, slog.LevelInfo, "instance stopped",
		"The planned stop is done; `cut` is how many requests it cut off.", "If `cut` isn't 0, raise the stop settings.",
	}
	ChildFailed = Event{
		104, slog.LevelError, "part failed and is restarted",
		"A supervised part of the process ended with an error.", "Report it with the line's `error`.",
	}
	InvariantBroken = Event{
		105, slog.LevelError, "invariant broken, process stops",
		"The instance's state contradicts itself; it stops rather than decide on it.", "Report it; the platform replaces the instance.",
	}

	ConfirmationChanged = Event{
		201, slog.LevelInfo, "confirmation changed",
		"What proves that this instance's configuration is the newest has changed: table, witnesses or nothing.",
		"On `cut-off` for more than a minute, check the network between this instance, its peers and the platform.",
	}
	HandshakeFailed = Event{
		203, slog.LevelWarn, "peer connection refused",
		"Somebody connected to the peer address without knowing the fleet's secret.", "Check the sender's secret, or who it is.",
	}

	ServerEjected = Event{
		301, slog.LevelWarn, "backend server ejected",
		"A permit keeps a backend server out of use fleet-wide.", "Look at the server; it comes back by itself once its probes succeed.",
	}
	ServerReturned = Event{
		302, slog.LevelInfo, "backend server returned",
		"An ejected backend server is used again, slowly at first.", "Nothing.",
	}
	ShardWritten = Event{
		303, slog.LevelInfo, "shard parts moved",
		"This instance wrote a new division of a shard's rate and burst.", "Nothing.",
	}

	PlatformUnavailable = Event{
		401, slog.LevelWarn, "platform gives no answer",
		"Reads or writes of the platform's table fail. Requests go on under the last accepted configuration.",
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
		"A planned stop: the instance isn't named to callers any more and finishes what it has.", "Nothing.",
	}
	EdgeStopped = Event{
		503, slog.LevelInfo, "edge instance stopped",
		"The planned stop is done; `cut` requests were still in progress.", "If `cut` isn't 0, see which servers were slow.",
	}
	SettingsReloaded = Event{
		504, slog.LevelInfo, "settings reloaded",
		"The settings file has changed and the new settings are in force.", "Nothing.",
	}
	SettingsRejected = Event{
		505, slog.LevelError, "settings rejected",
		"The changed settings file has a fault; the former settings stay in force.", "Mend the field that `error` names.",
	}
	ConfigInForce = Event{
		511, slog.LevelInfo, "configuration in force",
		"This instance acts on a new configuration from now on.", "Nothing.",
	}
	ConfigRejected = Event{
		512, slog.LevelError, "configuration not understood",
		"The newest configuration in the store can't be read; requests with keys are refused once its age can't be proved.", "Mend the configuration that the operator wrote.",
	}
	ServerChanged = Event{
		513, slog.LevelInfo, "backend server's entry changed",
		"A backend server has come, drains, or is gone.", "Nothing.",
	}
	EntryIgnored = Event{
		514, slog.LevelWarn, "entry ignored",
		"An entry in the store names no server or instance that could be used.", "Find out who wrote it.",
	}
	StoreCallFailed = Event{
		515, slog.LevelWarn, "call of the store failed",
		"This instance asked the store and got no useful answer. Others go on asking.", "If only one instance logs this, check its network.",
	}
	EvacuationBegan = Event{
		516, slog.LevelWarn, "data centre evacuated",
		"Operators ask that backend servers of data centre `evacuated` get nothing new; this instance obeys from now on.", "Nothing, if it was meant. It ends when the operators take it back.",
	}
	EvacuationEnded = Event{
		517, slog.LevelInfo, "data centre taken back",
		"Backend servers of data centre `evacuated` are used again, as cold ones at first.", "Nothing.",
	}
	ServerLimited = Event{
		518, slog.LevelWarn, "backend server's limit changed",
		"A backend server's answers name another `limit` (requests a second from all instances) than `before`; 0 is none. The instances together keep to it.", "Find out what the server is short of.",
	}
	AnswerIgnored = Event{
		519, slog.LevelWarn, "answer of the store ignored",
		"An answer about `table`, of the store or handed on by another instance, is as of `version`, older than what is `known`.", "One or two at a time are late answers. If they go on, compare the store's versions with those that the instances know.",
	}
	StoreRestored = Event{
		520, slog.LevelWarn, "store came back from a copy",
		"The store is in `era` now, after `before`; what it had confirmed since the copy may be missing until it is written again. All tables are read anew.", "If it wasn't a drill, find out what the store has lost.",
	}
	PeerHeard = Event{
		521, slog.LevelInfo, "instance heard",
		"Another instance speaks, for the first time or again.", "Nothing.",
	}
	PeerSilent = Event{
		522, slog.LevelWarn, "instance silent",
		"Another instance hasn't spoken for `silence`; it isn't named to callers, and its part of the rates isn't counted on.", "Check it, if it wasn't stopped.",
	}
	PeerMessageFailed = Event{
		523, slog.LevelWarn, "message between instances failed",
		"A message couldn't be read or made.", "Check whether all instances run the same version.",
	}
	RelayChanged = Event{
		524, slog.LevelInfo, "relay changed",
		"What this instance has to say goes to `relay` from now on, which sends it on to all others: its former relay `before` is silent, leaves, or didn't send a message back; or a better one is known.", "If it changes again and again, check the network between these instances.",
	}
	RequestEnded = Event{
		531, slog.LevelInfo, "request ended",
		"A caller's request was answered: `status` and `rule` say how, the other fields by which figures.", "See OPERATIONS.md; `foxtailspoke-edge explain` sums these lines up.",
	}
	AttemptEnded = Event{
		532, slog.LevelInfo, "attempt ended",
		"One attempt at a backend server ended: what was expected of the server, and what came of it.", "See OPERATIONS.md.",
	}
	LinesLeftOut = Event{
		533, slog.LevelWarn, "log lines left out",
		"More lines came than the bound allows; `count` since the start were left out.", "Raise log.linesPerSecond if they are needed.",
	}
)

// All returns the catalogue in the order of the numbers.
func All() []Event {
	return []Event{
		Started, Stopping, Stopped, ChildFailed, InvariantBroken,
		ConfirmationChanged, HandshakeFailed,
		ServerEjected, ServerReturned, ShardWritten,
		PlatformUnavailable, PlatformReturned, RecordsDropped,
		EdgeStarted, EdgeStopping, EdgeStopped, SettingsReloaded, SettingsRejected,
		ConfigInForce, ConfigRejected, ServerChanged, EntryIgnored, StoreCallFailed,
		EvacuationBegan, EvacuationEnded, ServerLimited, AnswerIgnored, StoreRestored,
		PeerHeard, PeerSilent, PeerMessageFailed, RelayChanged,
		RequestEnded, AttemptEnded, LinesLeftOut,
	}
}
