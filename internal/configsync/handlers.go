package configsync

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/kataras/iris/v12"

	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
	"rattantide/internal/peer"
	"rattantide/internal/problem"
)

const errNotSynced = errors.ConstError("peer has no configuration in effect yet")

const (
	// maxPollWait bounds the time for which a poll may wait for changes.
	maxPollWait = time.Minute
	// maxAnnouncementBytes bounds the size of an announcement.
	maxAnnouncementBytes = 16 << 10
	// coalesceDelay is how long a response waits for further changes after the
	// first, as changes usually occur in groups.
	coalesceDelay = 20 * time.Millisecond
	// compressThreshold is the size in bytes from which a response is compressed.
	compressThreshold = 2 << 10
)

// RegisterHandlers registers the handlers for polls and announcements on party, which
// must be mounted at /peer/v1 and must check the peer token.
func (s *Syncer) RegisterHandlers(party iris.Party) {
	party.Get("/config", func(c iris.Context) {
		r := c.Request()
		since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
		waitMs, waitErr := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
		if err != nil || waitErr != nil || since < 0 || waitMs < 0 {
			s.options.Scope.Counter("config_bad_polls").Inc(1)
			peer.WriteError(c.ResponseWriter(), problem.New(http.StatusBadRequest, problem.CodeBadRequest, "since and waitMs must be numbers from 0"))
			return
		}
		wait := min(time.Duration(waitMs)*time.Millisecond, maxPollWait)
		s.writeFeed(c, s.awaitFeed(r.Context(), objectclient.Revision(since), r.URL.Query().Get("position"), wait))
	})
	party.Get("/snapshot", func(c iris.Context) { s.writeFeed(c, s.feed(-1, "")) })
	peer.Handle(party, http.MethodPost, "/leaving", maxAnnouncementBytes, func(_ context.Context, a membership.Announcement) (struct{}, error) {
		if a.Name == "" || a.Address == "" {
			return struct{}{}, problem.New(http.StatusBadRequest, problem.CodeBadRequest, "name and address are required")
		}
		s.options.Table.Announce(a)
		return struct{}{}, nil
	})
}

// awaitFeed returns the feed as soon as it contains changes, and at the latest after
// wait.
func (s *Syncer) awaitFeed(ctx context.Context, since objectclient.Revision, position string, wait time.Duration) Feed {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		objects, members := s.options.Cache.Changed(), s.options.Table.Changed()
		if feed := s.feed(since, position); feed.hasChanges(since) {
			sleep(ctx, min(coalesceDelay, wait))
			return s.feed(since, position)
		}
		select {
		case <-objects:
		case <-members:
		case <-ticker.C:
		case <-deadline.C:
			return s.feed(since, position)
		case <-s.stopped:
			return s.feed(since, position)
		case <-ctx.Done():
			return Feed{}
		}
	}
}

// feed returns the changes for a peer that has applied all changes up to since. The
// feed is full if since is negative, or so old that some later deletions are no
// longer stored as tombstones.
func (s *Syncer) feed(since objectclient.Revision, position string) Feed {
	// The revision is read before the objects, so that the objects are at least as
	// new as the revision.
	complete, deletionFloor, synced := s.progress.get()
	deletionFloor = max(deletionFloor, s.options.Cache.deletionFloor())
	feed := Feed{Synced: synced, Revision: complete}
	feed.Full = synced && (since < 0 || since < deletionFloor && complete > since)
	if feed.Full {
		since = -1
	}
	feed.Objects = s.options.Cache.Since(since)
	state := s.options.Table.Export(position)
	if state.Full || len(state.Instances) > 0 || len(state.Domains) > 0 {
		feed.Membership = &state
	}
	return feed
}

func (f *Feed) hasChanges(since objectclient.Revision) bool {
	return f.Membership != nil || len(f.Objects) > 0 || f.Full && f.Revision > since
}

// writeFeed writes a feed as the response, compressed if it is large and the client
// accepts gzip.
func (s *Syncer) writeFeed(c iris.Context, feed Feed) {
	w := c.ResponseWriter()
	body, err := json.Marshal(feed)
	if err != nil {
		peer.WriteError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	s.options.Scope.Counter("config_answers").Inc(1)
	s.options.Scope.Counter("config_answer_bytes").Inc(int64(len(body)))
	if len(body) < compressThreshold || !strings.Contains(c.Request().Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(body)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	compressor := gzip.NewWriter(w)
	_, _ = compressor.Write(body)
	_ = compressor.Close()
}
