// Package retryafter reads the time that a server wants its clients to wait.
package retryafter

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Max is the longest delay that is returned. A longer one would take a server out of service
// because of a single invalid value.
const Max = 5 * time.Minute

// Parse returns the delay of the header Retry-After, in seconds or as a date that is compared
// with the response's own. It is 0 if the header is missing or invalid, and at most Max.
func Parse(h http.Header) time.Duration {
	text := strings.TrimSpace(h.Get("Retry-After"))
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		if !(seconds > 0) {
			return 0
		}
		return time.Duration(min(seconds, Max.Seconds()) * float64(time.Second))
	}
	until, err := http.ParseTime(text)
	sentAt, sentErr := http.ParseTime(h.Get("Date"))
	if err != nil || sentErr != nil {
		return 0
	}
	return min(max(until.Sub(sentAt), 0), Max)
}
