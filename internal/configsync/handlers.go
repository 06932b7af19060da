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
	"rattantide/internal/peer"
	"rattantide/internal/problem"
)

const errNotSynced = errors.ConstError("peer has no configuration yet")

const (
	// maxWait bounds how long a poll may be held back.
	maxWait = time.Minute
	// maxAnnouncement bounds an announcement, in bytes.
	maxAnnouncement = 16 << 10
	// coalesce is how long an answer waits for further changes, as a change
	// seldom comes alone.
	coalesce = 20 * time.Millisecond
	// compressAbove is the size in bytes from which an answer is compressed.
	compressAbove = 2 << 10
)

// RegisterHandlers serves the configuration feed on a party that is mounted at
// /peer/v1 and checks the peer token.
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
		wait := min(time.Duration(waitMs)*time.Millisecond, maxWait)
		s.answer(c, s.await(r.Context(), since, r.URL.Query().Get("position"), wait))
	})
	party.Get("/snapshot", func(c iris.Context) { s.answer(c, s.feed(-1, "")) })
	peer.Handle(party, http.MethodPost, "/leaving", maxAnnouncement, func(_ context.Context, a membership.Announcement) (struct{}, error) {
		if a.Name == "" || a.Address == "" {
			return struct{}{}, problem.New(http.StatusBadRequest, problem.CodeBadRequest, "name and address are required")
		}
		s.options.Table.Announce(a)
		return struct{}{}, nil
	})
}

// await returns the feed when it has news, and at the latest after wait.
func (s *Syncer) await(ctx context.Context, since int64, position string, wait time.Duration) Feed {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		objects, members := s.options.Cache.Changed(), s.options.Table.Changed()
		if feed := s.feed(since, position); feed.hasNews(since) {
			sleep(ctx, min(coalesce, wait))
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

// feed returns what a peer that reaches up to since lacks; everything for a
// negative since or one from which on not every deletion is known.
func (s *Syncer) feed(since int64, position string) Feed {
	// The revision is read before the objects, so the objects are at least as
	// new as it says.
	complete, floor, synced := s.progress.get()
	floor = max(floor, s.options.Cache.knownFrom())
	feed := Feed{Synced: synced, Revision: complete}
	feed.Full = synced && (since < 0 || since < floor && complete > since)
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

func (f *Feed) hasNews(since int64) bool {
	return f.Membership != nil || len(f.Objects) > 0 || f.Full && f.Revision > since
}

func (s *Syncer) answer(c iris.Context, feed Feed) {
	w := c.ResponseWriter()
	body, err := json.Marshal(feed)
	if err != nil {
		peer.WriteError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	s.options.Scope.Counter("config_answers").Inc(1)
	s.options.Scope.Counter("config_answer_bytes").Inc(int64(len(body)))
	if len(body) < compressAbove || !strings.Contains(c.Request().Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(body)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	zipped := gzip.NewWriter(w)
	_, _ = zipped.Write(body)
	_ = zipped.Close()
}
