package objectclient

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Watch implements Store. A watch without any line for WatchSilence is dead and
// ends with ErrUnavailable.
func (c *Client) Watch(ctx context.Context, since int64, kinds []string, fn func(Event) error) error {
	outer := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(c.options.WatchSilence, cancel)
	defer silence.Stop()

	query := url.Values{"since": {strconv.FormatInt(since, 10)}}
	if len(kinds) > 0 {
		query.Set("kinds", strings.Join(kinds, ","))
	}
	response, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/watch?" + query.Encode()})
	if err != nil {
		return watchError(outer, err)
	}
	defer response.Body.Close()
	if err := statusError(response); err != nil {
		return err
	}
	lines := bufio.NewReaderSize(response.Body, 64<<10)
	for {
		line, err := readLine(lines, 2*c.options.MaxValueBytes)
		if err != nil {
			return watchError(outer, err)
		}
		// The time that fn takes does not count as silence.
		silence.Stop()
		var event Event
		if err := json.Unmarshal(line, &event); err != nil {
			return errors.Annotatef(ErrUnavailable, "unreadable watch line: %v", err)
		}
		if event.Type != EventBookmark && event.Object == nil {
			return errors.Annotate(ErrUnavailable, "watch event without an object")
		}
		if err := fn(event); err != nil {
			return err
		}
		silence.Reset(c.options.WatchSilence)
	}
}

func watchError(outer context.Context, err error) error {
	if outer.Err() != nil {
		return outer.Err()
	}
	return errors.Annotate(ErrUnavailable, err.Error())
}

// readLine reads one line of at most limit bytes.
func readLine(r *bufio.Reader, limit int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > limit {
			return nil, errors.Errorf("watch line above %d bytes", limit)
		}
		if err == nil {
			return line, nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}
