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

// bookmarkInterval is the time between the periodic bookmark events of a watch, which
// serve as heartbeats.
const bookmarkInterval = time.Second

func (a *API) serveWatch(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	if err != nil || since < 0 {
		control.WriteError(w, http.StatusBadRequest, "bad_request", "since is not a revision")
		return
	}
	var kinds []string
	if list := r.URL.Query().Get("kinds"); list != "" {
		kinds = strings.Split(list, ",")
	}
	a.mu.Lock()
	outageStarted := a.outageStarted
	a.mu.Unlock()
	a.stats.update(func(s *Stats) { s.Watches++; s.WatchesOpen++ })
	defer a.stats.update(func(s *Stats) { s.WatchesOpen-- })
	out := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	ticker := time.NewTicker(bookmarkInterval)
	defer ticker.Stop()
	bookmarkDue := true
	era := a.store.currentEra()
	w.Header().Set(objectclient.EraHeader, strconv.FormatInt(era, 10))
	for isStarted := false; ; isStarted = true {
		events, revision, changed, ok := a.store.eventsSince(era, since)
		if !ok && !isStarted {
			control.WriteError(w, http.StatusGone, "compacted", "the revision is compacted")
			return
		}
		if !ok {
			return
		}
		if !isStarted {
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
		if bookmarkDue {
			bookmarkDue = false
			if out.Encode(objectclient.Event{Revision: objectclient.Revision(revision), Type: objectclient.EventBookmark}) != nil {
				return
			}
		}
		if flush.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-ticker.C:
			bookmarkDue = true
		case <-outageStarted:
			control.AbortConnection()
		case <-r.Context().Done():
			return
		}
	}
}
