package problem

// Code is the stable identifier of a kind of problem, for callers to branch on.
type Code string

// The codes of the problems that the system returns.
const (
	CodeBadRequest           Code = "bad_request"
	CodeTooLarge             Code = "too_large"
	CodeUnauthorized         Code = "unauthorized"
	CodeForbidden            Code = "forbidden"
	CodeNotFound             Code = "not_found"
	CodeNoRoute              Code = "no_route"
	CodeInvalid              Code = "invalid_object"
	CodeConflict             Code = "version_conflict"
	CodeDuplicateRequest     Code = "duplicate_request_id"
	CodeKeyReused            Code = "idempotency_key_reused"
	CodeOutcomeUnknown       Code = "outcome_unknown"
	CodeDeadline             Code = "deadline_exceeded"
	CodeOverloaded           Code = "overloaded"
	CodeQuarantined          Code = "quarantined"
	CodeNoUpstream           Code = "no_upstream"
	CodeUpstreamFailed       Code = "upstream_failed"
	CodeLeaving              Code = "leaving"
	CodeObjectAPIUnavailable Code = "object_api_unavailable"
	CodeInternal             Code = "internal"
)
