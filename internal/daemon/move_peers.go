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
	verdictsPath = "/peer/v1/verdicts"
	// peerCallTimeout bounds one call, so that a slow peer does not delay a
	// verdict.
	peerCallTimeout = time.Second
	// maxConcurrentPeerCalls bounds the concurrent calls.
	maxConcurrentPeerCalls = 32
	// maxAskedPerSlot bounds the daemons that are asked for evidence in a time
	// slot. Present fleets are below it; asking all 380 daemons of the target
	// size would exceed the 14 kB/s that a daemon may spend on control traffic.
	maxAskedPerSlot = 16
	// maxVerdictBody and maxEvidenceBody bound request bodies in bytes.
	maxVerdictBody  = 4 << 10
	maxEvidenceBody = 1 << 10
)

// movePeers exchanges evidence and verdicts on version moves with other
// daemons.
type movePeers struct {
	table  *membership.Table
	client *peer.Client
	guard  *rollout.Guard
	logger *log.Logger
	// verdicts is the queue of verdicts to send. Verdicts are dropped when it
	// is full, because peers also learn them from the move's status.
	verdicts chan rollout.Verdict
}

// evidenceRequest asks for the evidence on one declaration of a move, from a
// time slot on.
type evidenceRequest struct {
	Move       string `json:"move"`
	DeclaredMs int64  `json:"declaredMs"`
	SinceSlot  int64  `json:"since"`
}

func newMovePeers(table *membership.Table, client *peer.Client, logger *log.Logger) *movePeers {
	const queueLength = 64
	return &movePeers{table: table, client: client, logger: logger, verdicts: make(chan rollout.Verdict, queueLength)}
}

// SendVerdict implements rollout.VerdictSender. It does not block.
func (p *movePeers) SendVerdict(v rollout.Verdict) {
	select {
	case p.verdicts <- v:
	default:
		p.logger.Warn("dropping a verdict on a version move: the queue of verdicts to peers is full", "move", v.Move)
	}
}

// Run sends verdicts to all daemons until ctx ends.
func (p *movePeers) Run(ctx context.Context) {
	for {
		select {
		case v := <-p.verdicts:
			p.forEachDaemon(ctx, p.table.AllDaemons(), func(ctx context.Context, d membership.Daemon) {
				if err := p.client.Call(ctx, http.MethodPost, d.Address, verdictsPath, v, nil); err != nil {
					p.logger.Warn("failed to send verdict to peer", "peer", d.Name, "move", v.Move, "error", err)
				}
			})
		case <-ctx.Done():
			return
		}
	}
}

// Collect implements rollout.Collector. It asks the daemons that are due in the
// time slot. The rows of both versions are from the same daemons and the same
// time, so the reports are a sample that compares the versions fairly. A daemon
// that finds the new version to be bad sends its verdict to all other daemons
// without being asked.
func (p *movePeers) Collect(ctx context.Context, move string, declaredMs, since int64) []rollout.Report {
	request := evidenceRequest{Move: move, DeclaredMs: declaredMs, SinceSlot: since}
	var mu sync.Mutex
	var reports []rollout.Report
	p.forEachDaemon(ctx, p.daemonsToAsk(move, since), func(ctx context.Context, d membership.Daemon) {
		var report rollout.Report
		if err := p.client.Call(ctx, http.MethodPost, d.Address, evidencePath, request, &report); err != nil {
			p.logger.Debug("failed to get evidence from peer", "peer", d.Name, "move", move, "error", err)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		reports = append(reports, report)
	})
	return reports
}

// daemonsToAsk returns the daemons to ask in a time slot: all daemons,
// including leaving ones because they still serve, or else the next
// maxAskedPerSlot in a hashed order that mixes failure domains. All daemons are
// asked over successive slots.
func (p *movePeers) daemonsToAsk(move string, slot int64) []membership.Daemon {
	all := p.table.AllDaemons()
	if len(all) <= maxAskedPerSlot {
		return all
	}
	order := slices.Clone(all)
	slices.SortFunc(order, func(a, b membership.Daemon) int {
		return cmp.Compare(xxhash.Sum64String(move+"/"+a.Name), xxhash.Sum64String(move+"/"+b.Name))
	})
	selected := make([]membership.Daemon, 0, maxAskedPerSlot)
	first := slot % int64(len(order)) * maxAskedPerSlot
	for i := range int64(maxAskedPerSlot) {
		selected = append(selected, order[(first+i)%int64(len(order))])
	}
	return selected
}

// forEachDaemon calls fn concurrently for each of the daemons and waits for all
// calls.
func (p *movePeers) forEachDaemon(ctx context.Context, daemons []membership.Daemon, fn func(context.Context, membership.Daemon)) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentPeerCalls)
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
		return p.guard.Report(r.Move, r.DeclaredMs, r.SinceSlot), nil
	})
	peer.Handle(party, http.MethodPost, "/verdicts", maxVerdictBody, func(_ context.Context, v rollout.Verdict) (struct{}, error) {
		p.guard.Import(v)
		return struct{}{}, nil
	})
}
