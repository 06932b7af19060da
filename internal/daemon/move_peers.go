package daemon

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// maxAsked bounds the daemons that are asked for evidence in a time slot. It
	// asks all of today's fleets; asking all 380 daemons of the target size
	// exceeds the 14 KB/s that a daemon may spend on control.
	maxAsked = 16
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
			p.call(ctx, p.table.AllDaemons(), func(ctx context.Context, d membership.Daemon) {
				if err := p.client.Call(ctx, http.MethodPost, d.Address, verdictPath, v, nil); err != nil {
					p.logger.Warn("peer did not take the verdict", "peer", d.Name, "move", v.Move, "error", err)
				}
			})
		case <-ctx.Done():
			return
		}
	}
}

// Collect implements rollout.Collector. It asks the daemons whose turn it is.
// Both versions' rows come from the same daemons and time, so that what it
// returns is a sample that compares them fairly; a daemon that sees the new
// version to be bad tells all others without being asked.
func (p *movePeers) Collect(ctx context.Context, move string, declaredMs, since int64) []rollout.Report {
	request := evidenceRequest{Move: move, DeclaredMs: declaredMs, Since: since}
	var mu sync.Mutex
	var reports []rollout.Report
	p.call(ctx, p.turn(move, since), func(ctx context.Context, d membership.Daemon) {
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

// turn returns the daemons to ask in a time slot: all, leaving ones too because
// they still serve, or the next maxAsked in an order that spreads failure
// domains. Over successive slots all get their turn.
func (p *movePeers) turn(move string, slot int64) []membership.Daemon {
	all := p.table.AllDaemons()
	if len(all) <= maxAsked {
		return all
	}
	order := slices.Clone(all)
	slices.SortFunc(order, func(a, b membership.Daemon) int {
		return cmp.Compare(xxhash.Sum64String(move+"/"+a.Name), xxhash.Sum64String(move+"/"+b.Name))
	})
	turn := make([]membership.Daemon, 0, maxAsked)
	first := slot % int64(len(order)) * maxAsked
	for i := range int64(maxAsked) {
		turn = append(turn, order[(first+i)%int64(len(order))])
	}
	return turn
}

// call calls fn for each of the daemons.
func (p *movePeers) call(ctx context.Context, daemons []membership.Daemon, fn func(context.Context, membership.Daemon)) {
	var group errgroup.Group
	group.SetLimit(peerParallel)
	for _, d := range daemons {
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
