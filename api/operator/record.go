package operator

import (
	"time"

	"foxtailspoke/api/operator/oas"
	"foxtailspoke/decision"
)

// FromRecord returns a decision record as the API shows it.
func FromRecord(r decision.Record) oas.Decision {
	return oas.Decision{
		Request:           r.Request,
		At:                r.At,
		Instance:          r.Instance,
		Workspace:         optString(r.Workspace),
		Service:           optString(r.Service),
		Method:            optString(r.Method),
		Outcome:           oas.DecisionOutcome(r.Outcome),
		Rule:              string(r.Rule),
		Sentence:          r.Sentence(),
		Server:            optString(r.Server),
		Attempts:          r.Attempts,
		TookSeconds:       r.Took.Seconds(),
		RetryAfterSeconds: optFloat(r.RetryAfter.Seconds()),
		Alike:             optInt(r.SimilarSkipped),
		Figures:           oas.NewOptFigures(fromFigures(r.Figures)),
	}
}

// ToRecord returns the decision record that the API showed.
func ToRecord(d oas.Decision) decision.Record {
	return decision.Record{
		Request:        d.Request,
		At:             d.At,
		Instance:       d.Instance,
		Workspace:      d.Workspace.Or(""),
		Service:        d.Service.Or(""),
		Method:         d.Method.Or(""),
		Outcome:        decision.Outcome(d.Outcome),
		Rule:           decision.Rule(d.Rule),
		Server:         d.Server.Or(""),
		Attempts:       d.Attempts,
		Took:           seconds(d.TookSeconds),
		RetryAfter:     seconds(d.RetryAfterSeconds.Or(0)),
		SimilarSkipped: d.Alike.Or(0),
		Figures:        toFigures(d.Figures.Or(oas.Figures{})),
	}
}

func fromFigures(f decision.Figures) oas.Figures {
	return oas.Figures{
		Plan:            optString(f.Plan),
		Rate:            optFloat(f.Rate),
		Burst:           optFloat(f.Burst),
		Tokens:          optFloat(f.Tokens),
		Parts:           optInt(f.Parts),
		AgeSeconds:      optFloat(f.Age.Seconds()),
		AgeLimitSeconds: optFloat(f.AgeLimit.Seconds()),
		Revision:        oas.OptUint64{Value: f.Revision, Set: f.Revision != 0},
		TimeoutSeconds:  optFloat(f.Timeout.Seconds()),
		WaitedSeconds:   optFloat(f.Waited.Seconds()),
		Servers:         optInt(f.Servers),
		Usable:          optInt(f.Usable),
		Size:            optInt64(f.Size),
		MaxSize:         optInt64(f.MaxSize),
		Detail:          optString(f.Detail),
	}
}

func toFigures(f oas.Figures) decision.Figures {
	return decision.Figures{
		Plan:     f.Plan.Or(""),
		Rate:     f.Rate.Or(0),
		Burst:    f.Burst.Or(0),
		Tokens:   f.Tokens.Or(0),
		Parts:    f.Parts.Or(0),
		Age:      seconds(f.AgeSeconds.Or(0)),
		AgeLimit: seconds(f.AgeLimitSeconds.Or(0)),
		Revision: f.Revision.Or(0),
		Timeout:  seconds(f.TimeoutSeconds.Or(0)),
		Waited:   seconds(f.WaitedSeconds.Or(0)),
		Servers:  f.Servers.Or(0),
		Usable:   f.Usable.Or(0),
		Size:     f.Size.Or(0),
		MaxSize:  f.MaxSize.Or(0),
		Detail:   f.Detail.Or(""),
	}
}

// seconds rounds to microseconds: the sum of float and integer steps would
// otherwise show as stray nanoseconds.
func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second)).Round(time.Microsecond)
}

func optString(s string) oas.OptString  { return oas.OptString{Value: s, Set: s != ""} }
func optFloat(f float64) oas.OptFloat64 { return oas.OptFloat64{Value: f, Set: f != 0} }
func optInt(n int) oas.OptInt           { return oas.OptInt{Value: n, Set: n != 0} }
func optInt64(n int64) oas.OptInt64     { return oas.OptInt64{Value: n, Set: n != 0} }
