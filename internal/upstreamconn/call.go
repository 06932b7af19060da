package upstreamconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"

	"github.com/juju/errors"

	"rattantide/internal/framing"
)

const (
	// maxInterimResponses is the number of 1xx responses after which a request fails.
	maxInterimResponses = 5
	// maxSingleWriteBytes is the body size up to which head and body are sent in one
	// write.
	maxSingleWriteBytes = 16 << 10
)

// Response is a response whose body has not been read yet.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if it is unknown.
	Length int64
	// Framing is how the end of the body is marked. With framing.Conn, io.EOF does not
	// show that the body is complete.
	Framing framing.Kind
	// Reused reports whether the connection has carried an earlier request, so that the
	// response may be a late one to that request.
	Reused bool
	// Body must be closed. Closing it before io.EOF closes the connection, which
	// makes most upstreams cancel the request.
	Body io.ReadCloser
}

// Do sends a request to an address with at most limit open connections; 0 means no
// limit. It returns when the head of the response has been read. The end of ctx
// aborts the request, also while the body is read. The error is an *Error.
func (p *Pools) Do(ctx context.Context, address string, limit int, r *Request) (*Response, error) {
	c, err := p.get(ctx, address, limit)
	if err != nil {
		return nil, &Error{Err: err}
	}
	if r.MaySend != nil {
		if err := r.MaySend(); err != nil {
			p.putUnused(address, c)
			return nil, &Error{Err: err}
		}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	call := p.startCall(address, r, cancel)
	interrupt := context.AfterFunc(ctx, c.interrupt)
	stop := func() bool {
		stopped := interrupt()
		cancel(nil)
		call.End()
		return stopped
	}
	if sent, err := c.send(r); err != nil {
		err = contextCause(ctx, err)
		stop()
		p.drop(address, c)
		return nil, &Error{Sent: sent, Err: err}
	}
	response, err := c.readHead(r.Method) //nolint:bodyclose // closed by the caller through Response.Body
	if err != nil {
		err = contextCause(ctx, err)
		stop()
		p.drop(address, c)
		return nil, &Error{Sent: true, Err: err}
	}
	call.Heard()
	b := &body{ReadCloser: response.Body, pools: p, address: address, conn: c, stop: stop, ctx: ctx, call: call, response: response}
	return &Response{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength,
		Framing: framing.Of(response, r.Method), Reused: c.reused, Body: b,
	}, nil
}

// startCall tells the observer of a call. cancel ends the call.
func (p *Pools) startCall(address string, r *Request, cancel context.CancelCauseFunc) PathCall {
	if p.Paths == nil {
		return noPathCall{}
	}
	if !r.EndsWithPath {
		return p.Paths.Start(address, nil)
	}
	return p.Paths.Start(address, func() { cancel(ErrPathLost) })
}

// contextCause returns the cause of ctx if ctx has ended, and err otherwise.
func contextCause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return errors.Trace(context.Cause(ctx))
	}
	return errors.Trace(err)
}

// send writes the request and reports whether any byte was written.
func (c *conn) send(r *Request) (sent bool, err error) {
	c.Expect()
	buf := r.append(make([]byte, 0, 1024+min(len(r.Body), maxSingleWriteBytes)))
	if len(r.Body) <= maxSingleWriteBytes {
		n, err := c.Write(append(buf, r.Body...))
		return n > 0, err
	}
	buffers := net.Buffers{buf, r.Body}
	n, err := buffers.WriteTo(c.NetConn())
	return n > 0, err
}

// readHead reads the head of the final response.
func (c *conn) readHead(method string) (*http.Response, error) {
	for range maxInterimResponses {
		response, err := readResponse(c.reader, method)
		if err != nil && c.Rejected() != nil {
			return nil, c.Rejected()
		}
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= 200 {
			return response, nil
		}
	}
	return nil, errors.New("5 interim responses without a final one")
}

func readResponse(reader *bufio.Reader, method string) (*http.Response, error) {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	return response, err
}

// body is the body of a response. At its end, the connection returns to the pool if
// it can be reused.
type body struct {
	io.ReadCloser
	pools    *Pools
	address  string
	conn     *conn
	stop     func() bool
	ctx      context.Context
	call     PathCall
	response *http.Response
	done     bool
}

// Read implements io.Reader. Only io.EOF means that the body is complete, as far as its
// framing can show that.
func (b *body) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.call.Heard()
	}
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.release()
	default:
		err = contextCause(b.ctx, err)
		b.abandon()
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	if !b.done && b.response.ContentLength == 0 {
		b.release()
		return nil
	}
	b.abandon()
	return nil
}

// release returns the connection to the pool after a complete response, or closes it
// if it cannot be reused.
func (b *body) release() {
	if b.done {
		return
	}
	b.done = true
	if !b.stop() || b.response.Close || b.conn.reader.Buffered() > 0 {
		b.pools.drop(b.address, b.conn)
		return
	}
	b.conn.reused = true
	b.conn.setIdleTimeout(b.response.Header, b.pools.Now())
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
