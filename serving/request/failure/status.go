package failure

import (
	"net/http"

	"carobspoke.example/core/verdict"
)

// statuses maps reasons to HTTP statuses. The status of other reasons is 502.
var statuses = map[verdict.Reason]int{
	verdict.BadRequest:       http.StatusBadRequest,
	verdict.BodyTooLarge:     http.StatusRequestEntityTooLarge,
	verdict.HeaderTooLarge:   http.StatusRequestHeaderFieldsTooLarge,
	verdict.Unauthenticated:  http.StatusUnauthorized,
	verdict.NotAllowed:       http.StatusForbidden,
	verdict.UnknownModel:     http.StatusNotFound,
	verdict.UnknownService:   http.StatusNotFound,
	verdict.StreamUnknown:    http.StatusNotFound,
	verdict.PromptTooLong:    http.StatusRequestEntityTooLarge,
	verdict.DeadlineTooShort: http.StatusServiceUnavailable,
	verdict.Overloaded:       http.StatusServiceUnavailable,
	verdict.QueueFull:        http.StatusServiceUnavailable,
	verdict.QuotaExceeded:    http.StatusTooManyRequests,
	verdict.NoTarget:         http.StatusServiceUnavailable,
	verdict.TargetLeaving:    http.StatusServiceUnavailable,
	verdict.TargetLimited:    http.StatusServiceUnavailable,
	verdict.TargetCold:       http.StatusServiceUnavailable,
	verdict.Evacuated:        http.StatusServiceUnavailable,
	verdict.RegionNotAllowed: http.StatusServiceUnavailable,
	verdict.DaemonDraining:   http.StatusServiceUnavailable,
	verdict.NotReady:         http.StatusServiceUnavailable,
	verdict.SpanUnavailable:  http.StatusServiceUnavailable,
	verdict.RetryBudgetSpent: http.StatusServiceUnavailable,
	verdict.CrashSuspect:     http.StatusUnprocessableEntity,
	verdict.TicketInvalid:    http.StatusForbidden,
	verdict.TicketExpired:    http.StatusGone,
	verdict.TicketOwnerGone:  http.StatusConflict,
	verdict.TicketUsed:       http.StatusConflict,
	verdict.KeyInUse:         http.StatusConflict,
	verdict.KeyHomeUnsettled: http.StatusConflict,
	verdict.KeyRequired:      http.StatusPreconditionRequired,
	verdict.DeadlineExceeded: http.StatusGatewayTimeout,
	verdict.Internal:         http.StatusInternalServerError,
}

// Status returns the HTTP status of a reason.
func Status(reason verdict.Reason) int {
	if status, ok := statuses[reason]; ok {
		return status
	}
	return http.StatusBadGateway
}

// errorType returns the error type of a reason, for Detail.Type.
func errorType(reason verdict.Reason) string {
	status := Status(reason)
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}
