package decision

import "fmt"

func causeServed(r Record) string {
	switch {
	case r.Outcome == RanBefore:
		return "it repeats an earlier one with the same operation key, which was carried out and isn't carried out twice"
	case r.Attempts > 1:
		return fmt.Sprintf("an earlier backend server failed to answer%s, so it was sent again, and the whole answer came from %s after %s",
			detailSuffix(r), serverPhrase(r), formatDuration(r.Took))
	case r.Figures.Waited > 0:
		return fmt.Sprintf("the whole answer came from %s after %s, of which it waited %s for its turn",
			serverPhrase(r), formatDuration(r.Took), formatDuration(r.Figures.Waited))
	default:
		return fmt.Sprintf("the whole answer came from %s after %s", serverPhrase(r), formatDuration(r.Took))
	}
}

func causeNoKey(Record) string { return "it came without a key, so nobody knows whose it is" }

func causeKeyUnknown(Record) string {
	return "its key was never given to anybody, or has been withdrawn"
}

func causeServiceNotInPlan(r Record) string {
	if r.Figures.Plan == "" {
		return "the workspace's plan doesn't include this service"
	}
	return fmt.Sprintf("the workspace is on the plan %q, which doesn't include this service", r.Figures.Plan)
}

func causeNoRoute(Record) string { return "no service is set up for the address that it asked for" }

func causeBadRequest(r Record) string {
	return "it wasn't put together correctly" + detailSuffix(r)
}

func causeTooLarge(r Record) string {
	if r.Figures.Size > 0 {
		return fmt.Sprintf("it is %s in size and at most %s are accepted", formatSize(r.Figures.Size), formatSize(r.Figures.MaxSize))
	}
	return fmt.Sprintf("it is larger than the %s that are accepted", formatSize(r.Figures.MaxSize))
}

func causeRateExceeded(r Record) string {
	f := r.Figures
	if f.Rate == 0 {
		return "the workspace has used up what its plan allows"
	}
	plan := "the plan"
	if f.Plan != "" {
		plan = fmt.Sprintf("the plan %q", f.Plan)
	}
	return fmt.Sprintf("%s allows %s requests a second, with up to %s at once after a quiet time, and the workspace has used that up",
		plan, formatNumber(f.Rate), formatNumber(f.Burst))
}

func causePeerUnreachable(r Record) string {
	return "the instances that count this workspace's requests couldn't be reached in time" + detailSuffix(r)
}

func causeConfigUnconfirmed(r Record) string {
	f := r.Figures
	if f.Age == 0 {
		return "the instance couldn't make sure that its configuration is the newest"
	}
	return fmt.Sprintf("the instance last made sure %s ago that its configuration is the newest, and must not serve anybody when that is longer ago than %s",
		formatDuration(f.Age), formatDuration(f.AgeLimit))
}

func causeInstanceLeaving(Record) string {
	return "the instance is being stopped as planned and takes nothing new; other instances serve"
}

func causeOverloaded(r Record) string {
	return "the instance was already working on as many requests as it can hold" + detailSuffix(r)
}

func causeNoServer(r Record) string {
	f := r.Figures
	if f.Servers == 0 {
		return "the service has no backend server at present"
	}
	return fmt.Sprintf("%d of the service's %s could be used at that moment%s",
		f.Usable, formatCount(f.Servers, "backend server"), detailSuffix(r))
}

func causeBackendBusy(r Record) string {
	return fmt.Sprintf("%s said that it was too busy and did nothing", serverPhrase(r))
}

func causeDeadlineExceeded(r Record) string {
	return fmt.Sprintf("the service allows %s for a request, and that time was over before a backend server could take it",
		formatDuration(r.Figures.Timeout))
}

func causeAttemptsFailed(r Record) string {
	return fmt.Sprintf("it was sent %s and no whole answer came back%s", formatTimes(r.Attempts), detailSuffix(r))
}

func causeUnknownOutcome(r Record) string {
	return fmt.Sprintf("it was sent to %s once, and no whole answer came back within %s%s; it was not sent again, because it must not be carried out twice",
		serverPhrase(r), formatDuration(r.Took), detailSuffix(r))
}

func causeAnswerTruncated(r Record) string {
	return fmt.Sprintf("the answer of %s broke off after a part of it had been passed on%s", serverPhrase(r), detailSuffix(r))
}

func causeCallerDisconnected(r Record) string {
	return fmt.Sprintf("the caller hung up after %s, before the answer was there", formatDuration(r.Took))
}

func causeOperationElsewhere(r Record) string {
	return "its operation key belongs to another instance, which couldn't be reached" + detailSuffix(r)
}

func causeOperationLost(Record) string {
	return "the instance that gave out its operation key is gone, and with it the knowledge whether the operation was carried out before"
}

func causeStillRunning(Record) string {
	return "the first request with this operation key is still being worked on"
}

func causeAlreadyRan(Record) string {
	return "the first request with this operation key was carried out, and its answer is no longer at hand"
}

func causeClaimUnavailable(Record) string {
	return "it must not be carried out twice, and the record that makes sure of this couldn't be written just then"
}

func causeInternal(r Record) string {
	return "the instance itself failed" + detailSuffix(r)
}

// detailSuffix returns Figures.Detail in parentheses with a leading space, or an
// empty string.
func detailSuffix(r Record) string {
	if r.Figures.Detail == "" {
		return ""
	}
	return " (" + r.Figures.Detail + ")"
}

func serverPhrase(r Record) string {
	if r.Server == "" {
		return "a backend server"
	}
	return "backend server " + r.Server
}

func formatTimes(n int) string {
	switch n {
	case 1:
		return "once"
	case 2:
		return "twice"
	default:
		return fmt.Sprintf("%d times", n)
	}
}
