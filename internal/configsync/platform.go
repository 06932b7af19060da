package configsync

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// maxPlatformResponseBytes bounds a response of the instance list or the cloud API.
const maxPlatformResponseBytes = 64 << 20

// getPlatform reads JSON from a platform service into out and returns the size of the
// response body in bytes.
func (s *Syncer) getPlatform(ctx context.Context, timeout time.Duration, url string, out any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	response, err := s.options.HTTP.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, errors.Errorf("%s: %s", url, response.Status)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPlatformResponseBytes))
	if err != nil {
		return 0, err
	}
	return len(body), errors.Annotate(json.Unmarshal(body, out), url)
}
