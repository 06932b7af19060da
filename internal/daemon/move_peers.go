package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/kataras/iris/v12"
	"golang.org/x/sync/errgroup"

	"rattantide/internal/membership"
	"rattantide/internal/peer"
	"rattantide/internal/rollout"
)

const (
	evidencePath = "/peer/v1/evidence"
	verdictPath  = "/peer/v1/verdicts"
	// peerCallTimeout bounds one call; a slow peer must not hold up a verdict.
	peerCallTimeout = time.Second
	// peerParallel bounds the calls that are open at once.
	peerParallel = 32
	// maxVerdictBody and maxEvidenceBody bound messages in bytes.
	maxVerdictBody  = 4 << 10
	maxEvidenceBody = 1 << 10
)

// movePeers exchanges evidence and verdicts on version moves with other daemons.
type movePeers struct {
	table  *membership.Table
	client *peer.Client
	guard  *rollout.Guard
	logger *log.Logger
	// verdicts holds what is to be told; a full queue drops, as peers also
	// learn from the move's status.
	verdicts chan rollout.Verdict
}

// evidenceRequest asks for evidence on one declaration of a move.
type evidenceRequest struct {
	Move       string `json:"move"`
	DeclaredMs int64  `json:"declaredMs"`
	Since      int64  `json:"since"`
}

func newMovePeers(table *membership.Table, client *peer.Client, logger *log.Logger) *movePeers {
	const queue = 64
	return &movePeers{table: table, client: client, logger: logger, verdicts: make(chan rollout.Verdict, queue)}
}

// Tell implements rollout.VerdictSender.
func (p *movePeers) Tell(v rollout.Verdict) {
	select {
	case p.verdicts <- v:
	default:
		p.logger.Warn("verdict was not sent to peers; the queue is full", "move", v.Move)
	}
}

// Run sends verdicts to all daemons until ctx ends.
func (p *movePeers) Run(ctx context.Context) {
	for {
		select {
		case v := <-p.verdicts:
			p.toAll(ctx, func(ctx context.Context, d membership.Daemon) {
				if err := p.client.Call(ctx, http.MethodPost, d.Address, verdictPath, v, nil); err != nil {
					p.logger.Warn("peer did not take the verdict", "peer", d.Name, "move", v.Move, "error", err)
				}
			})
		case <-ctx.Done():
			return
		}
	}
}

// Collect implements rollout.Collector.
func (p *movePeers) Collect(ctx context.Context, move string, declaredMs, since int64) []rollout.Report {
	request := evidenceRequest{Move: move, DeclaredMs: declaredMs, Since: since}
	var mu sync.Mutex
	var reports []rollout.Report
	p.toAll(ctx, func(ctx context.Context, d membership.Daemon) {
		var report rollout.Report
		if err := p.client.Call(ctx, http.MethodPost, d.Address, evidencePath, request, &report); err != nil {
			p.logger.Debug("peer gave no evidence", "peer", d.Name, "move", move, "error", err)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		reports = append(reports, report)
	})
	return reports
}

// toAll calls fn for every other daemon, leaving ones too: they still serve.
func (p *movePeers) toAll(ctx context.Context, fn func(context.Context, membership.Daemon)) {
	var group errgroup.Group
	group.SetLimit(peerParallel)
	for _, d := range p.table.AllDaemons() {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
			defer cancel()
			fn(ctx, d)
			return nil
		})
	}
	_ = group.Wait()
}

func (p *movePeers) registerHandlers(party iris.Party) {
	peer.Handle(party, http.MethodPost, "/evidence", maxEvidenceBody, func(_ context.Context, r evidenceRequest) (rollout.Report, error) {
		return p.guard.Report(r.Move, r.DeclaredMs, r.Since), nil
	})
	peer.Handle(party, http.MethodPost, "/verdicts", maxVerdictBody, func(_ context.Context, v rollout.Verdict) (struct{}, error) {
		p.guard.Import(v)
		return struct{}{}, nil
	})
}
