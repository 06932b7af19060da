package journal

import "github.com/juju/errors"

// The errors of records: why Append drops an event, why a record is not added,
// and why a Reader ends.
const (
	// ErrStaleAttempt means that the event belongs to an attempt that a later one
	// has superseded.
	ErrStaleAttempt = errors.ConstError("event of a superseded attempt")
	// ErrDuplicateEvent means that the record already contains the event.
	ErrDuplicateEvent = errors.ConstError("event is already in the record")
	// ErrGap means that events before this one are missing.
	ErrGap = errors.ConstError("events are missing before this one")
	// ErrEnded means that the record has finished or moved to another daemon.
	ErrEnded = errors.ConstError("record has ended")
	// ErrTooLarge means that a size limit of the record or the journal is
	// reached.
	ErrTooLarge = errors.ConstError("journal limit reached")
	// ErrExists means that the journal already contains a record with the
	// identifier.
	ErrExists = errors.ConstError("request identifier is in use")
	// ErrMoved is returned by a Reader whose record has another holder.
	ErrMoved = errors.ConstError("record has another holder")
	// ErrLowerEpoch means that a copy is older than the stored record.
	ErrLowerEpoch = errors.ConstError("a record with this or a higher epoch exists")
)
