package journal

import "github.com/juju/errors"

// The reasons for which Append drops an event, and Create refuses a record.
const (
	// ErrStaleAttempt means that the event belongs to an abandoned attempt.
	ErrStaleAttempt = errors.ConstError("event of an abandoned attempt")
	// ErrDuplicateEvent means that the event is already held.
	ErrDuplicateEvent = errors.ConstError("event is already held")
	// ErrGap means that events before this one are missing.
	ErrGap = errors.ConstError("events are missing before this one")
	// ErrEnded means that the record is finished or was moved away.
	ErrEnded = errors.ConstError("record has ended")
	// ErrTooLarge means that the record or the journal is full.
	ErrTooLarge = errors.ConstError("journal limit reached")
	// ErrExists means that a record with the identifier is already held.
	ErrExists = errors.ConstError("request identifier is in use")
	// ErrMoved ends a Reader whose record has another holder.
	ErrMoved = errors.ConstError("record has another holder")
	// ErrLowerEpoch refuses a copy that is older than the one held.
	ErrLowerEpoch = errors.ConstError("a record with this or a higher epoch is held")
)
