package framing

import (
	"net/http"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
)

// Abort ends a response whose body is incomplete such that it does not look complete to a
// caller to whom its end is marked as kind says. The handler must return at once. If the
// connection need not be reset, or cannot be, Abort panics with http.ErrAbortHandler, which
// closes it.
func Abort(w http.ResponseWriter, kind Kind, logger *log.Logger) {
	if kind != Conn {
		panic(http.ErrAbortHandler)
	}
	if err := reset(w); err != nil {
		logger.Error("connection not reset, an incomplete response may look complete", "error", err)
		panic(http.ErrAbortHandler)
	}
}

// reset resets the connection of a response, which shows that a body that ends with its
// connection is not complete. Bytes that the caller has not read may be lost.
func reset(w http.ResponseWriter) error {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return errors.Annotate(err, "take over the connection")
	}
	lingering, ok := conn.(interface{ SetLinger(seconds int) error })
	if ok {
		err = lingering.SetLinger(0)
	} else {
		err = errors.NotSupportedf("reset of a %T", conn)
	}
	if closeErr := conn.Close(); err == nil {
		err = closeErr
	}
	return errors.Trace(err)
}
