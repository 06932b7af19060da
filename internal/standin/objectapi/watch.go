package objectapi

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"rattantide/internal/objectclient"
	"rattantide/internal/standin/control"
)

// bookmarkInterval is the time between heartbeat lines.
const bookmarkInterval = time.Second

func (a *API) serveWatch(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	if err != nil || since < 0 {
		control.Error(w, http.StatusBadRequest, "bad_request", "since is not a revision")
		return
	}
	var kinds []string
	if list := r.URL.Query().Get("kinds"); list != "" {
		kinds = strings.Split(list, ",")
	}
	a.mu.Lock()
	cut := a.cut
	a.mu.Unlock()
	a.stats.add(func(s *Stats) { s.Watches++; s.WatchesOpen++ })
	defer a.stats.add(func(s *Stats) { s.WatchesOpen-- })
	out := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	ticker := time.NewTicker(bookmarkInterval)
	defer ticker.Stop()
	bookmark := true
	for started := false; ; started = true {
		events, revision, changed, ok := a.store.since(since)
		if !ok && !started {
			control.Error(w, http.StatusGone, "compacted", "the revision is compacted")
			return
		}
		if !ok {
			return
		}
		if !started {
			w.Header().Set("Content-Type", "application/x-ndjson")
			w.WriteHeader(http.StatusOK)
		}
		for _, event := range events {
			if len(kinds) > 0 && !slices.Contains(kinds, event.Object.Kind) {
				continue
			}
			if out.Encode(event) != nil {
				return
			}
		}
		since = revision
		if bookmark {
			bookmark = false
			if out.Encode(objectclient.Event{Revision: revision, Type: objectclient.EventBookmark}) != nil {
				return
			}
		}
		if flush.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-ticker.C:
			bookmark = true
		case <-cut:
			control.Abort()
		case <-r.Context().Done():
			return
		}
	}
}
