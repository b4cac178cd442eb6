package contact

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/reach"
	"github.com/bulrushrelay/bulrushrelay/core/shard"
	"github.com/bulrushrelay/bulrushrelay/internal/contain"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

const (
	// stepInterval is the time between two looks at the contact of each owned cell. It is half of the pause between rounds of
	// questions, so that a tick that comes early delays no round by a whole pause.
	stepInterval = 250 * time.Millisecond
	// workerTimeout is how long a worker may take to answer a question, and answerTimeout how long a host may take to answer
	// for all of its workers. Both are short, because the work of unreached workers lapses after seconds.
	workerTimeout = 300 * time.Millisecond
	answerTimeout = 450 * time.Millisecond
	monitorShards = 16
)

// Config holds the dependencies of a Service.
type Config struct {
	Cells   []ident.CellID
	Workers Workers
	Owners  Owners
	Peers   Peers
	Prober  Prober
	// DecisionLog receives the decisions; nil drops them.
	DecisionLog jobs.DecisionLog
	// Now is the clock; time.Now by default.
	Now func() time.Time
	// Seed seeds the random choice of workers.
	Seed uint64
	Log  logrus.FieldLogger
}

// Service watches the contact of this host to the workers of the cells that it owns. The state of each cell is in a shard
// under its own lock. No lock is held during a call.
type Service struct {
	cfg   Config
	now   func() time.Time
	log   logrus.FieldLogger
	cells *shard.Map[ident.CellID, *watchedCell]
}

// watchedCell is the state of one owned cell.
type watchedCell struct {
	epoch   ident.Epoch
	monitor *reach.Monitor
	// cutOff is set while the owner reaches less than half of the workers.
	cutOff bool
}

// New returns a service that watches nothing yet.
func New(cfg Config) *Service {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Log == nil {
		cfg.Log = logrus.StandardLogger()
	}
	return &Service{
		cfg: cfg, now: cfg.Now, log: cfg.Log.WithField("part", "contact"),
		cells: shard.NewMap[ident.CellID, *watchedCell](monitorShards, func(c ident.CellID) uint64 { return uint64(c) }),
	}
}

// Run watches the owned cells until ctx ends.
func (s *Service) Run(ctx context.Context) {
	var asking sync.WaitGroup
	defer asking.Wait()
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, id := range s.cfg.Cells {
			s.step(ctx, id, &asking)
		}
	}
}

// step looks at the contact of one cell and asks the questions that are due, each in a goroutine of its own.
func (s *Service) step(ctx context.Context, id ident.CellID, asking *sync.WaitGroup) {
	grant := s.cfg.Owners.Grant(id)
	if grant.Authority == ownership.None {
		s.cells.Delete(id)
		return
	}
	if grant.Authority != ownership.Full {
		// What other hosts answered before is no ground to act on afterwards.
		s.withMonitor(id, grant.Epoch, func(m *reach.Monitor) { m.Step(s.now(), reach.Contact{}, nil) })
		return
	}
	c, ok := s.cfg.Workers.Contact(id)
	if !ok {
		return
	}
	var candidates []ident.Instance
	cutOff := !c.ReachesHalf()
	if cutOff {
		candidates = s.cfg.Owners.Candidates(id)
	}
	preferred, outranked := s.cfg.Owners.PreferredOver(id)
	var (
		questions           []reach.Question
		relief              reach.Question
		reliefDue, reported bool
	)
	now := s.now()
	s.cells.WithShard(id, func(entries map[ident.CellID]*watchedCell) {
		w := entries[id]
		if w == nil || w.epoch != grant.Epoch {
			random := rand.New(rand.NewPCG(s.cfg.Seed, uint64(id)<<32^uint64(grant.Epoch)))
			w = &watchedCell{epoch: grant.Epoch, monitor: reach.NewMonitor(reach.DefaultConfig(), random, now)}
			entries[id] = w
		}
		reported = w.cutOff != cutOff
		w.cutOff = cutOff
		questions = w.monitor.Step(now, c, candidates)
		if outranked {
			relief, reliefDue = w.monitor.ReliefQuestion(now, c, preferred)
		}
	})
	if reported {
		s.logContact(grant, c)
	}
	for _, q := range questions {
		s.ask(ctx, asking, id, q, func(reached []ident.WorkerID, answered bool) { s.answered(grant, c, q, reached, answered) })
	}
	if reliefDue {
		s.ask(ctx, asking, id, relief, func(reached []ident.WorkerID, answered bool) {
			s.reliefAnswered(grant, relief, reached, answered)
		})
	}
}

// ask asks a peer in a new goroutine, which passes the result to take.
func (s *Service) ask(
	ctx context.Context, asking *sync.WaitGroup, id ident.CellID, q reach.Question, take func(reached []ident.WorkerID, answered bool),
) {
	asking.Go(func() {
		defer contain.Recover(s.log, "a question to a host", nil)
		ctx, cancel := context.WithTimeout(ctx, answerTimeout)
		defer cancel()
		address := s.cfg.Owners.AddressOf(q.Peer)
		if address == "" {
			take(nil, false)
			return
		}
		reached, err := s.cfg.Peers.Reach(ctx, address, id, s.cfg.Workers.Members(id, q.Workers))
		if err != nil {
			s.log.WithError(err).WithFields(logrus.Fields{"cell": id, "peer": q.Peer.String()}).Debug("no answer to a question about workers")
		}
		take(reached, err == nil)
	})
}

// withMonitor calls f with the monitor of a cell that this host still watches under the epoch.
func (s *Service) withMonitor(id ident.CellID, epoch ident.Epoch, f func(m *reach.Monitor)) {
	s.cells.WithShard(id, func(entries map[ident.CellID]*watchedCell) {
		if w := entries[id]; w != nil && w.epoch == epoch {
			f(w.monitor)
		}
	})
}

func (s *Service) answered(g ownership.Grant, c reach.Contact, q reach.Question, reached []ident.WorkerID, answered bool) {
	var (
		successor ident.Instance
		handOver  bool
	)
	now := s.now()
	s.withMonitor(g.Cell, g.Epoch, func(m *reach.Monitor) { successor, handOver = m.Answered(now, q, reached, answered) })
	if !handOver || !s.cfg.Owners.HandOverTo(g.Cell, g.Epoch, successor) {
		return
	}
	s.record(jobs.EventCellHandedOver, jobs.Fields{
		jobs.FieldCell: g.Cell, jobs.FieldEpoch: g.Epoch, jobs.FieldSuccessor: successor.String(),
		jobs.FieldAsked: len(q.Workers), jobs.FieldAnswering: len(reached),
		jobs.FieldReached: len(c.Reached), jobs.FieldUnreached: len(c.Unreached),
	})
}

func (s *Service) reliefAnswered(g ownership.Grant, q reach.Question, reached []ident.WorkerID, answered bool) {
	confirmed := false
	s.withMonitor(g.Cell, g.Epoch, func(m *reach.Monitor) { confirmed = m.ReliefAnswered(q, reached, answered) })
	if confirmed {
		s.cfg.Owners.ConfirmReach(g.Cell, q.Peer)
	}
}

func (s *Service) logContact(g ownership.Grant, c reach.Contact) {
	event := jobs.EventWorkersReached
	if !c.ReachesHalf() {
		event = jobs.EventWorkersUnreached
	}
	s.record(event, jobs.Fields{
		jobs.FieldCell: g.Cell, jobs.FieldEpoch: g.Epoch, jobs.FieldReached: len(c.Reached), jobs.FieldUnreached: len(c.Unreached),
	})
}

func (s *Service) record(e jobs.EventName, f jobs.Fields) {
	if s.cfg.DecisionLog != nil {
		s.cfg.DecisionLog.Record(e, f)
	}
}

// Reach returns which of the workers this host reaches. It calls all of them at the same time, each once.
func (s *Service) Reach(ctx context.Context, workers []lifecycle.Member) []ident.WorkerID {
	ctx, cancel := context.WithTimeout(ctx, workerTimeout)
	defer cancel()
	answers := make([]bool, len(workers))
	var calls sync.WaitGroup
	for i, m := range workers {
		calls.Go(func() {
			defer contain.Recover(s.log, "a question to a worker", nil)
			answers[i] = s.cfg.Prober.Reaches(ctx, m)
		})
	}
	calls.Wait()
	var reached []ident.WorkerID
	for i, m := range workers {
		if answers[i] {
			reached = append(reached, m.ID)
		}
	}
	return reached
}
