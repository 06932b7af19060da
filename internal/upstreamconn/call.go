package upstreamconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"

	"github.com/juju/errors"
)

const (
	// maxInterim bounds the 1xx answers before the final one.
	maxInterim = 5
	// maxJoined is the size up to which body and head are sent in one write.
	maxJoined = 16 << 10
)

// Response is an answer whose body is still to be read.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 when it is not known.
	Length int64
	// Body must be closed. Closing it before its end closes the connection,
	// which makes most upstreams drop the request.
	Body io.ReadCloser
}

// Do sends a request to an address over at most limit connections. It returns
// once the head of the answer is there. The end of ctx ends the call, also while
// the body is read. The error is an *Error.
func (p *Pools) Do(ctx context.Context, address string, limit int, r *Request) (*Response, error) {
	c, err := p.get(ctx, address, limit)
	if err != nil {
		return nil, &Error{Err: err}
	}
	stop := context.AfterFunc(ctx, c.interrupt)
	if sent, err := c.send(r); err != nil {
		stop()
		p.drop(address, c)
		return nil, &Error{Sent: sent, Err: cause(ctx, err)}
	}
	answer, err := c.readHead(r.Method) //nolint:bodyclose // closed by the caller through Response.Body
	if err != nil {
		stop()
		p.drop(address, c)
		return nil, &Error{Sent: true, Err: cause(ctx, err)}
	}
	b := &body{ReadCloser: answer.Body, pools: p, address: address, conn: c, stop: stop, ctx: ctx, answer: answer}
	return &Response{Status: answer.StatusCode, Header: answer.Header, Length: answer.ContentLength, Body: b}, nil
}

// cause prefers the reason for which the caller ended the call.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return errors.Trace(context.Cause(ctx))
	}
	return errors.Trace(err)
}

// send writes the request and reports whether any byte of it was written.
func (c *conn) send(r *Request) (sent bool, err error) {
	buf := r.append(make([]byte, 0, 1024+min(len(r.Body), maxJoined)))
	if len(r.Body) <= maxJoined {
		n, err := c.Write(append(buf, r.Body...))
		return n > 0, err
	}
	parts := net.Buffers{buf, r.Body}
	n, err := parts.WriteTo(c.Conn)
	return n > 0, err
}

func (c *conn) readHead(method string) (*http.Response, error) {
	for range maxInterim {
		answer, err := readResponse(c.reader, method)
		if err != nil {
			return nil, err
		}
		if answer.StatusCode >= 200 {
			return answer, nil
		}
	}
	return nil, errors.New("too many interim answers")
}

func readResponse(reader *bufio.Reader, method string) (*http.Response, error) {
	answer, err := http.ReadResponse(reader, &http.Request{Method: method})
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	return answer, err
}

// body is the body of an answer; at its end the connection is kept for the next
// call if nothing speaks against it.
type body struct {
	io.ReadCloser
	pools   *Pools
	address string
	conn    *conn
	stop    func() bool
	ctx     context.Context
	answer  *http.Response
	done    bool
}

// Read implements io.Reader. Only io.EOF means that the body is complete.
func (b *body) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.release()
	default:
		b.abandon()
		err = cause(b.ctx, err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	if !b.done && b.answer.ContentLength == 0 {
		b.release()
		return nil
	}
	b.abandon()
	return nil
}

// release gives the connection back after a complete answer.
func (b *body) release() {
	if b.done {
		return
	}
	b.done = true
	if !b.stop() || b.answer.Close || b.conn.reader.Buffered() > 0 {
		b.pools.drop(b.address, b.conn)
		return
	}
	b.conn.keep(b.answer.Header, b.pools.Now())
	b.pools.put(b.address, b.conn)
}

// abandon closes the connection.
func (b *body) abandon() {
	if b.done {
		return
	}
	b.done = true
	b.stop()
	b.pools.drop(b.address, b.conn)
}
