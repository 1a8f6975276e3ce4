package fault

import "net/http"

// Kind is an error kind from a fixed list.
type Kind uint8

// The error kinds. Internal, the zero value, is for errors without a kind.
const (
	Internal Kind = iota
	BadRequest
	RequestTooLarge
	UnknownService
	UnknownRoute
	RouteUnusable
	MethodNotAllowed
	NotCarried
	NotReady
	Leaving
	DeadlineExceeded
	QueueFull
	NoTarget
	CallerGone
	TargetUnreachable
	TargetTimeout
	TargetProtocol
	TargetShort
	TargetBodyFailure
	TargetFailed
	TargetShed
	OrderKeyMissing
	OrderKeyInvalid
	OrderKeyMismatch
	OrderInProgress
	OrderClosed
	OrderUnknown
	OrderAnswerDropped
	StoreUnavailable
	StoreConflict
	StoreAmbiguous
	HistoryGone
	RowMissing
	SettingsInvalid
	SettingsConflict
	SettingsUnsettled
	SettingsDecided
	NotFound
	Unauthenticated
	Forbidden
	FloorReached
	ConfigInvalid
	PeerUnreachable
	MessageInvalid
	WorkspaceUnusable
	QuotaExceeded
	QuotaUnavailable
	kindCount
)

// RetryAdvice advises a caller whether and how to retry a request.
type RetryAdvice string

// The retry advice, with its names in responses.
const (
	RetryNever        RetryAdvice = "never"
	RetrySameKey      RetryAdvice = "same-key"
	RetryNewKey       RetryAdvice = "new-key"
	RetryLater        RetryAdvice = "later"
	RetryOtherAddress RetryAdvice = "other-address"
)

// Response is the default response for errors of one kind.
type Response struct {
	// Name is the kebab-case name of the kind.
	Name    string
	Title   string
	Status  int
	Outcome Outcome
	Retry   RetryAdvice
}

// statusClientClosed is the status that is logged, but never sent, if the caller
// closed its request before the response.
const statusClientClosed = 499

// defaultResponses is the table of default responses by kind.
var defaultResponses = [kindCount]Response{
	Internal:           {"internal", "Internal error", http.StatusInternalServerError, Unknown, RetrySameKey},
	BadRequest:         {"bad-request", "Malformed request", http.StatusBadRequest, NotRun, RetryNever},
	RequestTooLarge:    {"request-too-large", "Request body too large", http.StatusRequestEntityTooLarge, NotRun, RetryNever},
	UnknownService:     {"unknown-service", "No such service", http.StatusNotFound, NotRun, RetryNever},
	UnknownRoute:       {"unknown-route", "No route for this path", http.StatusNotFound, NotRun, RetryNever},
	RouteUnusable:      {"route-unusable", "Configuration of this route cannot be used", http.StatusServiceUnavailable, NotRun, RetryLater},
	MethodNotAllowed:   {"method-not-allowed", "Method not allowed on this route", http.StatusMethodNotAllowed, NotRun, RetryNever},
	NotCarried:         {"not-carried", "Service is not carried by this daemon", http.StatusMisdirectedRequest, NotRun, RetryOtherAddress},
	NotReady:           {"not-ready", "Daemon is not ready", http.StatusServiceUnavailable, NotRun, RetryOtherAddress},
	Leaving:            {"leaving", "Daemon is shutting down", http.StatusServiceUnavailable, NotRun, RetryOtherAddress},
	DeadlineExceeded:   {"deadline-exceeded", "Deadline cannot be met", http.StatusGatewayTimeout, NotRun, RetryLater},
	QueueFull:          {"queue-full", "Service is at its limit", http.StatusServiceUnavailable, NotRun, RetryLater},
	NoTarget:           {"no-target", "No target can take the request", http.StatusServiceUnavailable, NotRun, RetryLater},
	CallerGone:         {"caller-gone", "Caller closed the request", statusClientClosed, Unknown, RetrySameKey},
	TargetUnreachable:  {"target-unreachable", "Target unreachable", http.StatusBadGateway, NotRun, RetryLater},
	TargetTimeout:      {"target-timeout", "Target did not answer in time", http.StatusGatewayTimeout, Unknown, RetrySameKey},
	TargetProtocol:     {"target-protocol", "Target broke the protocol", http.StatusBadGateway, Unknown, RetrySameKey},
	TargetShort:        {"target-short", "Answer of the target was cut short", http.StatusBadGateway, Unknown, RetrySameKey},
	TargetBodyFailure:  {"target-body-failure", "Target reported a failure inside a success status", http.StatusBadGateway, Unknown, RetrySameKey},
	TargetFailed:       {"target-failed", "Target answered with a failure status", http.StatusBadGateway, Unknown, RetrySameKey},
	TargetShed:         {"target-shed", "Target refused the request before starting it", http.StatusServiceUnavailable, NotRun, RetryLater},
	OrderKeyMissing:    {"order-key-missing", "Orders on this route need an Idempotency-Key", http.StatusBadRequest, NotRun, RetryNever},
	OrderKeyInvalid:    {"order-key-invalid", "Idempotency-Key is malformed or not issued by this fleet", http.StatusBadRequest, NotRun, RetryNewKey},
	OrderKeyMismatch:   {"order-key-mismatch", "Idempotency-Key was used for another request", http.StatusUnprocessableEntity, Unknown, RetryNewKey},
	OrderInProgress:    {"order-in-progress", "Order is still running", http.StatusConflict, Unknown, RetrySameKey},
	OrderClosed:        {"order-closed", "Order was not run and its key is closed", http.StatusConflict, NotRun, RetryNewKey},
	OrderUnknown:       {"order-unknown", "Outcome of the order is unknown", http.StatusBadGateway, Unknown, RetrySameKey},
	OrderAnswerDropped: {"order-answer-dropped", "Order was run but its answer is no longer kept", http.StatusConflict, Run, RetryNever},
	StoreUnavailable:   {"store-unavailable", "Platform store is unavailable", http.StatusServiceUnavailable, NotRun, RetryLater},
	StoreConflict:      {"store-conflict", "Platform store reports a conflict", http.StatusConflict, NotRun, RetryLater},
	StoreAmbiguous:     {"store-ambiguous", "Write to the platform store may have taken effect", http.StatusServiceUnavailable, Unknown, RetrySameKey},
	HistoryGone:        {"history-gone", "Platform store has dropped that part of its history", http.StatusServiceUnavailable, NotRun, RetryLater},
	RowMissing:         {"row-missing", "No such row", http.StatusNotFound, NotRun, RetryNever},
	SettingsInvalid:    {"settings-invalid", "Settings are not valid", http.StatusUnprocessableEntity, NotRun, RetryNever},
	SettingsConflict:   {"settings-conflict", "Settings changed since the proposal", http.StatusConflict, NotRun, RetryLater},
	SettingsUnsettled:  {"settings-unsettled", "Change lacks an approval", http.StatusConflict, NotRun, RetryLater},
	SettingsDecided:    {"settings-decided", "Change is already decided", http.StatusConflict, NotRun, RetryNever},
	NotFound:           {"not-found", "Not found", http.StatusNotFound, NotRun, RetryNever},
	Unauthenticated:    {"unauthenticated", "Credentials are missing or wrong", http.StatusUnauthorized, NotRun, RetryNever},
	Forbidden:          {"forbidden", "Operator may not do this", http.StatusForbidden, NotRun, RetryNever},
	FloorReached:       {"floor-reached", "Floor of the service would be passed", http.StatusConflict, NotRun, RetryLater},
	ConfigInvalid:      {"config-invalid", "Process settings are not valid", http.StatusInternalServerError, NotRun, RetryNever},
	PeerUnreachable:    {"peer-unreachable", "Peer daemon is unreachable", http.StatusServiceUnavailable, Unknown, RetryLater},
	MessageInvalid:     {"message-invalid", "Message is not valid", http.StatusBadRequest, NotRun, RetryNever},
	WorkspaceUnusable:  {"workspace-unusable", "Configuration of the workspace cannot be used", http.StatusServiceUnavailable, NotRun, RetryLater},
	QuotaExceeded:      {"quota-exceeded", "Quota of the workspace is used up", http.StatusTooManyRequests, NotRun, RetryLater},
	QuotaUnavailable:   {"quota-unavailable", "Quota of the workspace cannot be checked now", http.StatusServiceUnavailable, NotRun, RetryOtherAddress},
}

// Response returns the default response for the kind, and that of Internal for a
// kind outside the list.
func (k Kind) Response() Response {
	if k >= kindCount {
		return defaultResponses[Internal]
	}
	return defaultResponses[k]
}

// String returns the kebab-case name of the kind.
func (k Kind) String() string {
	return k.Response().Name
}

// Kinds returns all kinds in the order of their declaration.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for k := range kindCount {
		kinds = append(kinds, k)
	}
	return kinds
}
