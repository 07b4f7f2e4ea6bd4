package dispatchsync

import (
	"math"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/homes"
	"carobspoke.example/core/process/inflight"
	"carobspoke.example/core/process/ratelimits"
	"carobspoke.example/core/process/refusals"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/process/suspects"
	"carobspoke.example/core/request/placement"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/peerpb"
	"carobspoke.example/serving/process/published"
)

// maxMessageTime bounds the times in messages, so that they fit into 32 bits in
// microseconds.
const maxMessageTime = time.Hour

// millis returns a time in milliseconds. A positive time is at least one, since zero
// stands for no time in some fields.
func millis(d time.Duration) uint32 {
	d = min(max(d, 0), maxMessageTime)
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}

func micros(d time.Duration) uint32 { return uint32(min(max(d, 0), maxMessageTime).Microseconds()) }

func fromMillis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// fromMillis64 returns a time of at most a hundred years.
func fromMillis64(ms uint64) time.Duration {
	const most = 100 * 365 * 24 * time.Hour
	return time.Duration(min(ms, uint64(most.Milliseconds()))) * time.Millisecond
}

func fromMicros(us uint32) time.Duration { return time.Duration(us) * time.Microsecond }

func encodeDispatch(d *inflight.Dispatch, idle time.Duration) *peerpb.DispatchBegun {
	begun := &peerpb.DispatchBegun{
		Number: d.Key.Number, LastsMs: millis(d.MaxDuration), Parts: encodeParts(d.Parts), Prefilled: d.Prefilled,
	}
	if idle >= 0 {
		begun.IdleMs = millis(idle) + 1
	}
	return begun
}

func decodeDispatch(k inflight.Key, begun *peerpb.DispatchBegun) (inflight.Dispatch, time.Duration) {
	d := inflight.Dispatch{
		Key: k, MaxDuration: fromMillis(begun.GetLastsMs()), Parts: decodeParts(begun.GetParts()), Prefilled: begun.GetPrefilled(),
	}
	return d, time.Duration(int64(begun.GetIdleMs())-1) * time.Millisecond
}

func encodeParts(parts []inflight.Part) []*peerpb.DispatchPart {
	list := make([]*peerpb.DispatchPart, 0, len(parts))
	for i := range parts {
		p := &parts[i]
		list = append(list, &peerpb.DispatchPart{
			Target: string(p.Target), PrefillMs: millis(p.Prefill), Tokens: uint32(p.Tokens),
			Writes: p.Decodes, Size: uint32(p.Size), GapMs: millis(p.GapTarget), Deferred: p.Deferred,
		})
	}
	return list
}

func decodeParts(parts []*peerpb.DispatchPart) []inflight.Part {
	list := make([]inflight.Part, 0, len(parts))
	for _, p := range parts {
		list = append(list, inflight.Part{
			Target: names.Target(p.GetTarget()), Prefill: fromMillis(p.GetPrefillMs()), Tokens: int(p.GetTokens()),
			Decodes: p.GetWrites(), Size: int(p.GetSize()), GapTarget: fromMillis(p.GetGapMs()), Deferred: p.GetDeferred(),
		})
	}
	return list
}

func encodeOutcome(o Outcome) peerpb.TargetOutcome_Kind {
	switch o {
	case Succeeded:
		return peerpb.TargetOutcome_KIND_SUCCEEDED
	case Failed:
		return peerpb.TargetOutcome_KIND_FAILED
	case Unreachable:
		return peerpb.TargetOutcome_KIND_UNREACHABLE
	default:
		return peerpb.TargetOutcome_KIND_UNSPECIFIED
	}
}

// decodeOutcome returns false for an outcome that this version does not know.
func decodeOutcome(kind peerpb.TargetOutcome_Kind) (Outcome, bool) {
	switch kind {
	case peerpb.TargetOutcome_KIND_SUCCEEDED:
		return Succeeded, true
	case peerpb.TargetOutcome_KIND_FAILED:
		return Failed, true
	case peerpb.TargetOutcome_KIND_UNREACHABLE:
		return Unreachable, true
	default:
		return 0, false
	}
}

// maxEndRequests bounds the numbers of requests in a message of an end, above those of the
// busiest daemon in a minute.
const maxEndRequests = 1 << 20

func encodeEnd(a *suspects.Accusation) *peerpb.TargetEnd {
	end := &peerpb.TargetEnd{End: uint64(a.End), Service: uint32(a.Service), Requests: uint32(a.Requests)}
	for _, s := range a.Suspects {
		end.Suspects = append(end.Suspects, &peerpb.Suspect{
			Item: uint64(s.Item), Customer: uint32(s.Customer), SoundMs: millis(s.SoundAgo), Frequency: uint32(s.Frequency), SoundRate: float32(s.SoundRate),
			SoundAll: uint32(s.SoundAll), SoundWith: uint32(s.SoundWith), Requests: uint32(s.Requests),
		})
	}
	return end
}

func decodeEnd(end *peerpb.TargetEnd) *suspects.Accusation {
	a := &suspects.Accusation{
		End: suspects.End(end.GetEnd()), Service: suspects.ServiceHash(end.GetService()), Requests: int(min(end.GetRequests(), maxEndRequests)),
	}
	for _, s := range end.GetSuspects() {
		a.Suspects = append(a.Suspects, suspects.Suspect{
			Item: suspects.Item(s.GetItem()), Customer: suspects.CustomerHash(s.GetCustomer()),
			SoundAgo: fromMillis(s.GetSoundMs()), Frequency: suspects.Frequency(min(s.GetFrequency(), math.MaxUint8)),
			SoundRate: decodeRate(s.GetSoundRate()),
			SoundAll:  int(min(s.GetSoundAll(), maxEndRequests)), SoundWith: int(min(s.GetSoundWith(), s.GetSoundAll(), maxEndRequests)),
			Requests: int(min(s.GetRequests(), end.GetRequests(), maxEndRequests)),
		})
	}
	return a
}

// ageMillis returns the time since a moment in ms, rounded up.
func ageMillis(at, now time.Time) uint32 {
	return uint32(min(now.Sub(at).Milliseconds()+1, math.MaxUint32))
}

// decodeHeartbeat decodes a heartbeat but for the moment of its confirmation.
func decodeHeartbeat(b *peerpb.DispatchBatch) published.Heartbeat {
	return published.Heartbeat{
		Position: replicas.Position{Era: b.GetEra(), Revision: b.GetRevision()},
		Settled:  b.GetSettled(), ConfigVersion: names.Version(b.GetConfigVersion()),
		Lost: b.GetSourceLost(),
	}
}

func encodeAsk(number uint64, a *Ask) *peerpb.PlacementAsk {
	r := &a.Request
	now := time.Now()
	var limits []*peerpb.TargetLimit
	for _, c := range a.Limits {
		limits = append(limits, encodeLimit(c.Incarnation, ratelimits.Statement{Rate: c.Rate, SentAt: c.ReadAt, ReadAt: c.ReadAt}, now))
	}
	return &peerpb.PlacementAsk{
		Number: number, Service: string(a.Group.Service), Group: uint32(a.Group.Index), Groups: uint32(a.Group.Groups),
		PromptTokens: uint32(r.PromptTokens), AnswerTokens: uint32(r.AnswerTokens),
		LatencyTargetMs: millis(r.LatencyTarget), GapTargetMs: millis(r.GapTarget),
		TimeLeftMs: millis(r.TimeLeft), TimeToShutdownMs: millis(r.TimeToShutdown), AnswerStarted: r.AnswerStarted,
		FirstEventTimeoutMs: millis(r.FirstEventTimeout), Rank: int32(r.Rank),
		Exclude: encodeNames(r.Exclude), Avoid: encodeNames(a.Avoid), Redirected: a.Redirected, Limits: limits,
		Evacuated: encodeNames(a.Evacuated), Regions: encodeNames(r.Regions), Customer: string(r.Customer),
		AnswerHint: uint32(r.AnswerHint), Fingerprint: uint64(r.Fingerprint), Cold: encodeCold(a.Cold), Retried: r.Retried,
	}
}

func decodeAsk(m *peerpb.PlacementAsk) *Ask {
	now := time.Now()
	var limits []ratelimits.Claim
	for _, l := range m.GetLimits() {
		i, s := decodeLimit(l, now)
		limits = append(limits, ratelimits.Claim{Incarnation: i, Rate: s.Rate, ReadAt: s.ReadAt})
	}
	return &Ask{
		Group: homes.Group{Service: names.Service(m.GetService()), Index: int(m.GetGroup()), Groups: int(m.GetGroups())},
		Request: placement.Request{
			PromptTokens: int(m.GetPromptTokens()), AnswerTokens: int(m.GetAnswerTokens()),
			LatencyTarget: fromMillis(m.GetLatencyTargetMs()), GapTarget: fromMillis(m.GetGapTargetMs()),
			TimeLeft: fromMillis(m.GetTimeLeftMs()), TimeToShutdown: fromMillis(m.GetTimeToShutdownMs()), AnswerStarted: m.GetAnswerStarted(),
			FirstEventTimeout: fromMillis(m.GetFirstEventTimeoutMs()), Rank: int(m.GetRank()),
			Exclude: decodeNames[names.Target](m.GetExclude()), Regions: decodeNames[names.Region](m.GetRegions()),
			Customer: names.Customer(m.GetCustomer()), AnswerHint: int(m.GetAnswerHint()), Fingerprint: refusals.Fingerprint(m.GetFingerprint()), Retried: m.GetRetried(),
		},
		Avoid: decodeNames[names.Target](m.GetAvoid()), Redirected: m.GetRedirected(), Limits: limits,
		Evacuated: decodeNames[names.DataCentre](m.GetEvacuated()), Cold: decodeCold(m.GetCold()),
	}
}

func encodeLimit(i replicas.Incarnation, s ratelimits.Statement, now time.Time) *peerpb.TargetLimit {
	return &peerpb.TargetLimit{
		Target: string(i.ID), Started: i.Started, Rate: float32(s.Rate), ReadMs: millis(now.Sub(s.ReadAt)), SentMs: millis(now.Sub(s.SentAt)),
	}
}

func decodeLimit(m *peerpb.TargetLimit, now time.Time) (replicas.Incarnation, ratelimits.Statement) {
	s := ratelimits.Statement{
		Rate: decodeRate(m.GetRate()), ReadAt: now.Add(-fromMillis(m.GetReadMs())), SentAt: now.Add(-fromMillis(m.GetSentMs())),
	}
	return replicas.Incarnation{ID: names.Target(m.GetTarget()), Started: m.GetStarted()}, s
}

// decodeRate returns a rate, or zero for a value that is none.
func decodeRate(rate float32) float64 {
	if !(rate > 0) || math.IsInf(float64(rate), 1) {
		return 0
	}
	return float64(rate)
}

func encodeNames[T ~string](list []T) []string {
	texts := make([]string, 0, len(list))
	for _, name := range list {
		texts = append(texts, string(name))
	}
	return texts
}

func decodeNames[T ~string](texts []string) []T {
	var list []T
	for _, text := range texts {
		list = append(list, T(text))
	}
	return list
}

func encodeCold(list []ColdTarget) []*peerpb.ColdTarget {
	var out []*peerpb.ColdTarget
	for _, c := range list {
		out = append(out, &peerpb.ColdTarget{Target: string(c.ID), Started: c.Started, LeftMs: millis(c.Left)})
	}
	return out
}

func decodeCold(list []*peerpb.ColdTarget) []ColdTarget {
	var out []ColdTarget
	for _, c := range list {
		i := replicas.Incarnation{ID: names.Target(c.GetTarget()), Started: c.GetStarted()}
		out = append(out, ColdTarget{Incarnation: i, Left: fromMillis(c.GetLeftMs())})
	}
	return out
}

func encodeAnswer(number uint64, a *Answer) *peerpb.PlacementAnswer {
	d := &a.Decision
	m := &peerpb.PlacementAnswer{
		Number: number, UnknownService: a.UnknownService, Pressure: float32(a.Pressure),
		Parts: encodeParts(d.Parts), FirstEventUs: micros(d.FirstEvent), CompletionUs: micros(d.Completion), Priority: uint32(d.Priority),
		BacklogUs: micros(d.Load.Backlog), Requests: uint32(d.Load.Requests), Answers: uint32(d.Load.Answers),
		Limit: float32(d.Limit), LimitAgeMs: millis(d.LimitAge), LimitsKnown: a.LimitsKnown, ColdLeave: d.ColdLeave,
	}
	for _, host := range a.Homes {
		m.Homes = append(m.Homes, string(host))
	}
	for i := range d.Helpers {
		m.Parts[i+1].Reserved = uint32(d.Helpers[i].ReservedTokens)
	}
	if d.Refusal != nil {
		m.RefusalReason, m.RefusalMessage = string(d.Refusal.Reason), d.Refusal.Message
		m.RetryAfterMs = millis(d.Refusal.RetryAfter)
	}
	return m
}

func decodeAnswer(m *peerpb.PlacementAnswer) Answer {
	a := Answer{UnknownService: m.GetUnknownService(), Pressure: float64(m.GetPressure()), LimitsKnown: m.GetLimitsKnown()}
	for _, host := range m.GetHomes() {
		a.Homes = append(a.Homes, names.Host(host))
	}
	d := &a.Decision
	d.Parts = decodeParts(m.GetParts())
	d.FirstEvent, d.Completion = fromMicros(m.GetFirstEventUs()), fromMicros(m.GetCompletionUs())
	d.Priority = int(m.GetPriority())
	d.ColdLeave = m.GetColdLeave()
	d.Limit, d.LimitAge = decodeRate(m.GetLimit()), fromMillis(m.GetLimitAgeMs())
	d.Load = inflight.Load{Backlog: fromMicros(m.GetBacklogUs()), Requests: int(m.GetRequests()), Answers: int(m.GetAnswers())}
	for i, p := range m.GetParts() {
		if i == 0 {
			d.Target = names.Target(p.GetTarget())
			continue
		}
		d.Helpers = append(d.Helpers, placement.Helper{Target: names.Target(p.GetTarget()), ReservedTokens: int(p.GetReserved())})
	}
	if m.GetRefusalReason() != "" {
		d.Refusal = verdict.New(verdict.NotRun, verdict.Reason(m.GetRefusalReason()), m.GetRefusalMessage()).WithRetryAfter(fromMillis(m.GetRetryAfterMs()))
	}
	return a
}
