package framing

import (
	"net/http"

	"github.com/juju/errors"
)

// Reset resets the connection of a response, which shows that a body that ends with its
// connection is not complete. Bytes that the caller has not read may be lost. The handler
// must not use w afterwards.
func Reset(w http.ResponseWriter) error {
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
