package objectclient

import (
	"bufio"
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/keptconn"
	"rattantide/internal/lenientjson"
)

// Watch implements Store. It returns ErrUnavailable if no line is received for
// WatchIdleTimeout, and ErrCompacted once the store was restored.
func (c *Client) Watch(ctx context.Context, since Revision, kinds []string, fn func(Event) error) error {
	if err := c.eras.CheckWatch(since); err != nil {
		return err
	}
	callerCtx := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(c.options.WatchIdleTimeout, cancel)
	defer idleTimer.Stop()

	query := url.Values{"since": {strconv.FormatInt(since.Number(), 10)}}
	if len(kinds) > 0 {
		query.Set("kinds", strings.Join(kinds, ","))
	}
	response, era, err := c.do(keptconn.WithWait(ctx, c.options.WatchIdleTimeout), request{method: http.MethodGet, path: "/v1/watch?" + query.Encode()})
	if err != nil {
		return watchError(callerCtx, err)
	}
	defer response.Body.Close()
	if err := statusError(response); err != nil {
		return err
	}
	if err := c.eras.CheckWatch(since); err != nil {
		return err
	}
	lines := bufio.NewReaderSize(response.Body, 64<<10)
	for {
		line, err := readLine(lines, 2*c.options.MaxValueBytes)
		if err != nil {
			return watchError(callerCtx, err)
		}
		// The time that fn takes does not count as idle time.
		idleTimer.Stop()
		var event Event
		if _, err := lenientjson.Unmarshal(line, &event); err != nil {
			return errors.Annotatef(ErrUnavailable, "invalid watch line: %v", err)
		}
		if event.Type != EventBookmark && event.Object == nil {
			return errors.Annotate(ErrUnavailable, "watch event without an object")
		}
		if err := event.setEra(era); err != nil {
			return err
		}
		if c.eras.Current() > era {
			return errors.Annotatef(ErrCompacted, "watch of era %d in era %d", era, c.eras.Current())
		}
		if err := fn(event); err != nil {
			return err
		}
		idleTimer.Reset(c.options.WatchIdleTimeout)
	}
}

// watchError returns the error of the caller's context if that is done, else err
// wrapped as ErrUnavailable.
func watchError(callerCtx context.Context, err error) error {
	if callerCtx.Err() != nil {
		return callerCtx.Err()
	}
	return errors.Annotate(ErrUnavailable, err.Error())
}

// readLine reads one line, including its newline. It returns an error if the line
// is longer than limit bytes.
func readLine(r *bufio.Reader, limit int) ([]byte, error) {
	var line []byte
	for {
		chunk, err := r.ReadSlice('\n')
		line = append(line, chunk...)
		if len(line) > limit {
			return nil, errors.Errorf("watch line exceeds %d bytes", limit)
		}
		if err == nil {
			return line, nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}
