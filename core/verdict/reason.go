package verdict

// Reason is the machine-readable cause of a refusal or failure. Each reason has
// its own counter and is listed on the operators' page on refusals.
type Reason string

// Reasons for refusing a request before it reaches a target, and for failing it
// afterwards.
const (
	BadRequest        Reason = "bad_request"
	BodyTooLarge      Reason = "body_too_large"
	HeaderTooLarge    Reason = "header_too_large"
	Unauthenticated   Reason = "unauthenticated"
	NotAllowed        Reason = "not_allowed"
	UnknownModel      Reason = "unknown_model"
	UnknownService    Reason = "unknown_service"
	PromptTooLong     Reason = "prompt_too_long"
	DeadlineTooShort  Reason = "deadline_too_short"
	Overloaded        Reason = "overloaded"
	QueueFull         Reason = "queue_full"
	QuotaExceeded     Reason = "quota_exceeded"
	NoTarget          Reason = "no_target"
	TargetLeaving     Reason = "target_leaving"
	TargetLimited     Reason = "target_limited"
	TargetCold        Reason = "target_cold"
	Evacuated         Reason = "evacuated"
	RegionNotAllowed  Reason = "region_not_allowed"
	DaemonDraining    Reason = "daemon_draining"
	NotReady          Reason = "not_ready"
	CrashSuspect      Reason = "crash_suspect"
	TicketInvalid     Reason = "ticket_invalid"
	TicketExpired     Reason = "ticket_expired"
	TicketOwnerGone   Reason = "ticket_owner_gone"
	TicketUsed        Reason = "ticket_used"
	KeyInUse          Reason = "key_in_use"
	KeyHomeUnsettled  Reason = "key_home_unsettled"
	KeyRequired       Reason = "key_required"
	TargetRefused     Reason = "target_refused"
	TargetUnreachable Reason = "target_unreachable"
	TargetFailed      Reason = "target_failed"
	TargetCrashed     Reason = "target_crashed"
	AnswerCut         Reason = "answer_cut"
	AnswerMismatch    Reason = "answer_mismatch"
	PeerUnreachable   Reason = "peer_unreachable"
	PeerFailed        Reason = "peer_failed"
	DeadlineExceeded  Reason = "deadline_exceeded"
	CallerGone        Reason = "caller_gone"
	RetryBudgetSpent  Reason = "retry_budget_spent"
	StreamUnknown     Reason = "stream_unknown"
	SpanUnavailable   Reason = "span_unavailable"
	HopLimit          Reason = "hop_limit"
	Internal          Reason = "internal"
)

// Reasons returns all reasons in the order of their declaration.
func Reasons() []Reason {
	return []Reason{
		BadRequest, BodyTooLarge, HeaderTooLarge, Unauthenticated, NotAllowed, UnknownModel,
		UnknownService, PromptTooLong, DeadlineTooShort, Overloaded, QueueFull,
		QuotaExceeded, NoTarget, TargetLeaving, TargetLimited, TargetCold, Evacuated, RegionNotAllowed, DaemonDraining, NotReady,
		CrashSuspect, TicketInvalid, TicketExpired, TicketOwnerGone, TicketUsed,
		KeyInUse, KeyHomeUnsettled, KeyRequired, TargetRefused, TargetUnreachable,
		TargetFailed, TargetCrashed, AnswerCut, AnswerMismatch, PeerUnreachable,
		PeerFailed, DeadlineExceeded, CallerGone, RetryBudgetSpent, StreamUnknown,
		SpanUnavailable, HopLimit, Internal,
	}
}
