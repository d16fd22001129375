package relay

import (
	"time"

	"github.com/rs/zerolog"

	"basilstall.example/basilstall/ending"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

const (
	// maxChangeLines bounds the log lines on changes of endpoints that one answer about the list brings.
	maxChangeLines = 100
	// answerLogBurst is the maximum number of lines on complete answers in each logSamplePeriod. Refusals and failures
	// are all logged; under load, only a sample of the successes is.
	answerLogBurst  = 10
	logSamplePeriod = time.Second
	// lateAnswerLogBurst is the maximum number of lines on late answers in each logSamplePeriod.
	lateAnswerLogBurst = 50
	// unstatedLogBurst is the maximum number of lines on answers without a stated end in each logSamplePeriod.
	unstatedLogBurst = 50
	// invalidLogBurst is the maximum number of lines on invalid statements of endpoints in each logSamplePeriod.
	invalidLogBurst = 1
)

func sampled(log zerolog.Logger, burst uint32) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: burst, Period: logSamplePeriod})
}

// logOutcome logs how a request ended, and the routing and rank that it was admitted with.
func (r *Relay) logOutcome(f model.Forward, a kernel.Admission, view kernel.RoutingView, o Outcome) {
	now := r.now()
	r.countEnding(o)
	log := &r.log
	switch {
	case o.Refusal != nil || !o.Complete:
	case o.End == ending.Unstated:
		log = &r.unstatedLog
	case o.Late:
		log = &r.lateAnswersLog
	default:
		log = &r.answersLog
	}
	line := log.Info().Str("Request", f.ID).Str("Digest", string(f.Digest)).Str("Route", a.Route.Name).Str("Customer", a.Customer).Int("Rank", a.Rank).
		Uint64("Routing", view.Table.Version()).Dur("RoutingAge", now.Sub(view.ProvenAt)).Str("ProvenBy", r.routingProof.Load().By).
		Dur("Elapsed", now.Sub(f.ReceivedAt)).Int("Attempts", o.Attempts)
	if o.Refusal != nil && o.Refusal.Reason == model.StaleRouting {
		view = r.View()
		line = line.Str("Currency", string(r.currencyAt(now, view))).Int("Unanswered", len(r.routingProof.Load().Attempts.Ages(now, view.ProvenAt)))
	}
	if f.Waited > 0 {
		line = line.Dur("Waited", f.Waited)
	}
	if f.LastEventID != "" || f.Resumes != "" {
		line = line.Str("Resumes", f.Resumes).Str("LastEvent", f.LastEventID)
	}
	if o.Resumption != nil {
		line = line.Dict("Resumption", resumptionDict(*o.Resumption))
	}
	if !f.Deadline.IsZero() {
		line = line.Dur("Left", f.Deadline.Sub(f.ReceivedAt))
	}
	line = withEnding(withServers(line, o), o)
	if o.FirstEventTime > 0 {
		line = line.Dur("First", o.FirstEventTime)
	}
	if o.Late {
		line = line.Bool("Late", true)
	}
	if o.Share != nil {
		line = line.Dict("Share", zerolog.Dict().Float64("Share", o.Share.Share).Float64("Use", o.Share.Use).Bool("Over", o.Share.Over))
	}
	if len(o.Estimates) > 0 {
		line = line.Array("Estimates", stageEstimateArray(o.Estimates))
	}
	if len(o.Stages) > 0 {
		line = line.Array("Stages", stageTimingArray(o.Stages))
	}
	switch {
	case o.Refusal != nil:
		line.Str("Outcome", "Refused").Str("Verdict", string(o.Refusal.Verdict)).
			Str("Reason", string(o.Refusal.Reason)).Dur("RetryAfter", o.Refusal.RetryAfter).
			Msg(o.Refusal.Detail)
	case o.Complete:
		line.Str("Outcome", "Answered").Int("Status", o.Status).Msg("request answered")
	default:
		line.Str("Outcome", "BrokenOff").Int("Status", o.Status).Msg("answer broken off")
	}
}

// countEnding counts answers that ended without a stated end, by what their ends were judged by, and those that the node broke
// off, by the reason.
func (r *Relay) countEnding(o Outcome) {
	if o.Evidence != "" && (o.End == ending.Unstated || o.End == ending.BrokenOff) {
		r.metrics.CountEvent("End" + string(o.End) + string(o.Evidence))
	}
	if o.Barred != "" {
		r.metrics.CountEvent("StreamBarredBy" + string(o.Barred))
	}
	if o.Cause != nil {
		r.metrics.CountEvent("BrokenOffBy" + string(o.Cause.Reason))
	}
}

// withServers adds the endpoint and the nodes that took part in serving a request to its line.
func withServers(line *zerolog.Event, o Outcome) *zerolog.Event {
	if o.Endpoint != "" {
		line = line.Str("Endpoint", o.Endpoint)
	}
	if o.Through != "" {
		line = line.Str("Through", o.Through)
	}
	if o.Placer != "" {
		line = line.Str("Placer", o.Placer)
	}
	if o.For != "" {
		line = line.Str("For", o.For)
	}
	return line
}

// withEnding adds how the endpoint's answer was delimited, what is known of its end and by what, and the refusal that broke it
// off.
func withEnding(line *zerolog.Event, o Outcome) *zerolog.Event {
	if o.Framing != "" {
		line = line.Str("Framing", string(o.Framing))
	}
	if o.Evidence != "" {
		line = line.Str("Evidence", string(o.Evidence))
	}
	if o.End != "" {
		line = line.Str("End", string(o.End))
	}
	if o.Barred != "" {
		line = line.Str("Barred", string(o.Barred))
	}
	if o.Cause != nil {
		line = line.Str("Cause", string(o.Cause.Reason)).Str("Verdict", string(o.Cause.Verdict)).Str("Detail", o.Cause.Detail)
	}
	return line
}

// stageTimingArray marshals the timings of a request's stages.
type stageTimingArray []StageTiming

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (timings stageTimingArray) MarshalZerologArray(a *zerolog.Array) {
	for _, t := range timings {
		a.Dict(withShares(zerolog.Dict().Int("Stage", t.Stage).Str("Pool", t.Pool).Str("Batcher", t.Batcher).
			Dur("Elapsed", t.Elapsed).Dur("Waited", t.Waited).Dur("Estimate", t.Estimate).Str("Fault", string(t.Fault)), t.Shares))
	}
}

// stageEstimateArray marshals the estimates for a request's pools.
type stageEstimateArray []StageEstimate

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (estimates stageEstimateArray) MarshalZerologArray(a *zerolog.Array) {
	for _, e := range estimates {
		a.Dict(withShares(zerolog.Dict().Str("Pool", e.Pool).Dur("Wait", e.Wait).Float64("RoomTaken", e.RoomTaken), e.Shares))
	}
}

// withShares adds the share and the use of a customer, in seconds of an endpoint per second, if its share decided.
func withShares(line *zerolog.Event, s kernel.ShareStanding) *zerolog.Event {
	if !s.Applies {
		return line
	}
	return line.Float64("Share", s.Share).Float64("Use", s.Use).Bool("BeyondShare", s.Beyond)
}

// logFailedAttempt logs an attempt that brought no answer.
func (r *Relay) logFailedAttempt(f model.Forward, e model.Endpoint, attempt int, reason model.Reason, err error) {
	r.log.Info().Str("Request", f.ID).Str("Digest", string(f.Digest)).Str("Endpoint", e.Incarnation()).Str("Pool", e.Pool).Int("Attempt", attempt).
		Dur("RegistryAge", r.Registry().Age(r.now())).Str("Reason", string(reason)).AnErr("Error", err).
		Msg("attempt failed")
}

// logEndedAttempt logs an attempt at a stream that ended without the end of the stream. silence is for how long the engine had sent
// no event, begun is true if the caller has events.
func (r *Relay) logEndedAttempt(f model.Forward, e model.Endpoint, begun bool, silence time.Duration, err error) {
	r.log.Info().Str("Request", f.ID).Str("Endpoint", e.Incarnation()).Str("Pool", e.Pool).Dur("Silence", silence).Bool("Begun", begun).
		Str("EndedBy", endedBy(err)).Msg("attempt at a stream ended without its end")
}

// logResumed logs that a stream goes on at another endpoint within its answer.
func (r *Relay) logResumed(f model.Forward, from, to model.Endpoint, lastEventID string) {
	r.log.Info().Str("Request", f.ID).Str("Digest", string(f.Digest)).Str("Pool", to.Pool).Str("LastEvent", lastEventID).
		Str("From", from.Incarnation()).Str("FromVersion", from.Version).Str("To", to.Incarnation()).Str("ToVersion", to.Version).
		Dur("RegistryAge", r.Registry().Age(r.now())).Msg("stream goes on at another endpoint")
}

// logRegistryChanges logs the endpoints that were listed or removed, or whose state changed: each on a line of its own up
// to maxChangeLines, and the number of the others. The first list is logged as a number.
func (r *Relay) logRegistryChanges(changes []kernel.RegistryChange, first bool) {
	lines := maxChangeLines
	if first {
		lines = 0
	}
	for _, change := range changes[:min(lines, len(changes))] {
		line := r.log.Info().Str("Endpoint", change.Endpoint.Incarnation()).Str("Pool", change.Endpoint.Pool).
			Str("Address", change.Endpoint.Address).Str("State", string(change.Endpoint.State)).Str("Version", change.Endpoint.Version)
		if change.HasAbsence {
			line = line.Str("Evidence", string(change.Absence.Reason)).Dur("EvidenceAge", change.Absence.EvidenceAge).
				Dur("UnlistedFor", change.Absence.UnlistedFor).Dur("Keep", change.Absence.Keep)
		}
		line.Msg(change.Message)
	}
	for _, change := range changes {
		if change.HasAbsence {
			r.metrics.CountEvent("EndpointMissing" + string(change.Absence.Reason))
		}
	}
	if more := len(changes) - lines; more > 0 {
		r.log.Info().Int("Endpoints", more).Bool("First", first).Msg("more endpoints changed")
	}
}
