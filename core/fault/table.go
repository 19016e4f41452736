package fault

import "net/http"

// responses maps each kind to its HTTP answer. A test checks that no kind is missing.
var responses = map[Kind]Response{
	Internal:         {http.StatusInternalServerError, "internal_error", MayHaveRun, false},
	BadRequest:       {http.StatusBadRequest, "invalid_request_error", NotRun, false},
	RequestTooLarge:  {http.StatusRequestEntityTooLarge, "request_too_large", NotRun, false},
	RequestTimeout:   {http.StatusRequestTimeout, "request_timeout", NotRun, false},
	UnknownRoute:     {http.StatusNotFound, "unknown_route", NotRun, false},
	UnknownModel:     {http.StatusNotFound, "unknown_model", NotRun, false},
	Unauthenticated:  {http.StatusUnauthorized, "authentication_error", NotRun, false},
	Forbidden:        {http.StatusForbidden, "permission_error", NotRun, false},
	KeyWithdrawn:     {http.StatusUnauthorized, "key_withdrawn", MayHaveRun, false},
	RateExceeded:     {http.StatusTooManyRequests, "rate_limit_exceeded", NotRun, true},
	Overloaded:       {http.StatusServiceUnavailable, "overloaded", NotRun, true},
	PromptHeld:       {http.StatusServiceUnavailable, "prompt_held", NotRun, true},
	NoEndpoint:       {http.StatusServiceUnavailable, "no_endpoint", NotRun, true},
	EndpointFailed:   {http.StatusBadGateway, "endpoint_failed", MayHaveRun, false},
	EndpointTimeout:  {http.StatusGatewayTimeout, "endpoint_timeout", MayHaveRun, false},
	EndpointRefused:  {http.StatusServiceUnavailable, "endpoint_refused", NotRun, true},
	AnswerBroken:     {http.StatusBadGateway, "answer_broken", MayHaveRun, false},
	CallInProgress:   {http.StatusConflict, "call_in_progress", MayHaveRun, true},
	CallMismatch:     {http.StatusUnprocessableEntity, "idempotency_key_reused", NotRun, false},
	OutcomeUnknown:   {http.StatusConflict, "outcome_unknown", MayHaveRun, false},
	AnswerNotKept:    {http.StatusConflict, "answer_not_kept", DidRun, false},
	StoreUnavailable: {http.StatusServiceUnavailable, "store_unavailable", NotRun, true},
	RevisionConflict: {http.StatusConflict, "revision_conflict", NotRun, false},
	BadText:          {http.StatusUnprocessableEntity, "invalid_text", NotRun, false},
	BadSettings:      {http.StatusInternalServerError, "invalid_settings", NotRun, false},
	PeerUnavailable:  {http.StatusServiceUnavailable, "peer_unavailable", NotRun, true},
	NotHolder:        {http.StatusServiceUnavailable, "not_holder", NotRun, true},
	ShuttingDown:     {http.StatusServiceUnavailable, "shutting_down", NotRun, true},
	CallerGone:       {499, "caller_gone", MayHaveRun, false},
	DeadlineExceeded: {http.StatusGatewayTimeout, "deadline_exceeded", MayHaveRun, false},
	NotFound:         {http.StatusNotFound, "not_found", NotRun, false},
}

// ResponseFor returns the answer for a kind. An undefined kind is answered as Internal.
func ResponseFor(k Kind) Response {
	if a, ok := responses[k]; ok {
		return a
	}
	return responses[Internal]
}
