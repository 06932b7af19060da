package responsehead

import (
	"io"
	"sync"
)

// MaxBytes bounds the head of a response with those of the interim responses before it.
const MaxBytes = 64 << 10

// Reader passes on what is received from a server. It holds the head of a response back until
// it is complete and checked, with the interim responses before it. Read must be called by one
// goroutine at a time; the other methods are safe for concurrent use.
type Reader struct {
	source io.Reader

	mu sync.Mutex
	// expecting is set while the head of a final response has not been received.
	expecting bool
	// heads counts the heads of final responses that were received.
	heads int
	// rejected is the error in a head, or nil.
	rejected error

	// The following belong to the goroutine that reads. held is the incomplete head, checked is
	// what may be passed on, and failure is returned after it.
	scanner       scanner
	held, checked []byte
	failure       error
}

// NewReader returns a Reader that does not expect a head.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// Expect makes the next bytes that are received the head of a response, and returns its number.
// It must be called before the request is sent, when the response to the one before was read.
func (r *Reader) Expect() (number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expecting = true
	return r.heads + 1
}

// HasReceived reports whether the head with a number that Expect has returned was received.
func (r *Reader) HasReceived(number int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.heads >= number
}

// Rejected returns the error in a head, or nil. It wraps ErrInvalid.
func (r *Reader) Rejected() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rejected
}

func (r *Reader) isExpecting() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.expecting
}

// Read implements io.Reader. An error in a head is returned after the first byte of the head:
// http.Transport repeats some requests if there is none. All later calls return the error too.
// Parsers may hide it, see Rejected.
func (r *Reader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for len(r.checked) == 0 && r.failure == nil {
		n, err := r.source.Read(p)
		if !r.isExpecting() || n == 0 && len(r.held) == 0 {
			return n, err
		}
		r.hold(p[:n], err)
	}
	n := copy(p, r.checked)
	r.checked = r.checked[n:]
	if n == 0 {
		return 0, r.failure
	}
	return n, nil
}

// hold takes bytes of a head, and the error that came with them.
func (r *Reader) hold(text []byte, err error) {
	r.held = append(r.held, text...)
	complete, rejected := r.scanner.scan(r.held)
	switch {
	case complete:
		r.checked, r.failure = r.held, err
		r.held, r.scanner = nil, scanner{}
	case rejected != nil:
		r.fail(rejected)
	case err != nil:
		r.fail(err)
	}
	r.record(complete, rejected)
}

// fail passes on the first byte of the head, and then err.
func (r *Reader) fail(err error) { r.checked, r.held, r.failure = r.held[:1], nil, err }

// record records whether the head of a final response is complete, or why it is rejected.
func (r *Reader) record(complete bool, rejected error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rejected = rejected
	if complete {
		r.expecting = false
		r.heads++
	}
}
