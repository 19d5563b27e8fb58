package event

import "log/slog"

// The catalogue. 1xx is the process, 2xx the configuration and membership,
// 3xx requests and backend servers, 4xx the platform.
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
)

// All returns the catalogue in the order of the numbers.
func All() []Event {
	return []Event{
		Started, Stopping, Stopped, ChildFailed, InvariantBroken,
		ConfirmationChanged, HandshakeFailed,
		ServerEjected, ServerReturned, ShardWritten,
		PlatformUnavailable, PlatformReturned, RecordsDropped,
	}
}
