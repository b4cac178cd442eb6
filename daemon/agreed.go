package daemon

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/store"
)

const (
	// layoutKey holds the division into cells of the deployment, and retentionKey how long its keys may be used.
	layoutKey    = "/cells"
	retentionKey = "/key-retention"
	// formerRetention is the retention of a deployment without retentionKey: the constant of earlier versions, whose
	// hosts may still be running.
	formerRetention = 24 * time.Hour
)

var (
	// ErrLayout means that the settings divide the deployment otherwise than the store says. Two hosts that differ would
	// both own the same workers and targets.
	ErrLayout = errors.New("the settings cells and data-centres differ from those of the deployment")
	// ErrRetention means that this host would accept keys for another time than the rest of the deployment. After a
	// hand-over of records, the host with the longer time could run a request a second time.
	ErrRetention = errors.New("the setting key-retention differs from that of the deployment")
)

// layout returns the text form of the division into cells.
func (s Settings) layout() string {
	return fmt.Sprintf("%d cells over %s", s.Cells, strings.Join(s.DataCentres, ","))
}

// agreed is a setting that must be the same on all hosts.
type agreed struct {
	key      string
	value    string
	mismatch error
}

// agreedSettings returns the settings that must be the same on all hosts. The division into cells is the first: a
// deployment exists if the store has it.
func (s Settings) agreedSettings() []agreed {
	return []agreed{
		{layoutKey, s.layout(), ErrLayout},
		{retentionKey, s.KeyRetention.String(), ErrRetention},
	}
}

// settingsGate is the store as the cluster service sees it. It grants no lease, and so lets the host own nothing, before
// the agreed settings have been compared with those in the store. A host that starts during an outage of the store takes
// part in gossip meanwhile.
type settingsGate struct {
	store.Store
	settings []agreed
	verified atomic.Bool
	// mismatch receives an error of a setting that differs, at most once.
	mismatch chan error
}

func newSettingsGate(s store.Store, settings []agreed) *settingsGate {
	return &settingsGate{Store: s, settings: settings, mismatch: make(chan error, 1)}
}

// Grant implements store.Store.
func (g *settingsGate) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if !g.verified.Load() {
		if err := g.verify(ctx); err != nil {
			return 0, err
		}
		g.verified.Store(true)
	}
	return g.Store.Grant(ctx, ttl)
}

// verify compares the agreed settings with those in the store, and writes them there if this is the first host. A lost
// answer to the write is resolved by reading again.
func (g *settingsGate) verify(ctx context.Context) error {
	if err := g.write(ctx); err != nil {
		return err
	}
	var differing []error
	for _, s := range g.settings {
		entry, ok, err := g.Get(ctx, s.key)
		if err != nil || !ok {
			return errors.Join(err, fmt.Errorf("the setting under %s could not be read back", s.key))
		}
		if found := string(entry.Value); found != s.value {
			differing = append(differing, fmt.Errorf("%w: settings: %s; deployment: %s", s.mismatch, s.value, found))
		}
	}
	err := errors.Join(differing...)
	if err != nil {
		select {
		case g.mismatch <- err:
		default:
		}
	}
	return err
}

// write writes the settings that the store lacks, in one transaction, so that two first hosts cannot mix theirs. In a
// deployment of an earlier version only the retention is missing; the one written is what its hosts have in force.
func (g *settingsGate) write(ctx context.Context) error {
	var (
		compares []store.Compare
		ops      []store.Op
	)
	for _, s := range g.settings {
		_, ok, err := g.Get(ctx, s.key)
		if err != nil {
			return err
		}
		if ok {
			continue
		}
		compares = append(compares, store.KeyAbsent(s.key))
		ops = append(ops, store.Op{Key: s.key, Value: []byte(s.value)})
	}
	if len(ops) == 0 {
		return nil
	}
	if ops[0].Key != layoutKey {
		ops[0].Value = []byte(formerRetention.String())
	}
	_, err := g.Txn(ctx, compares, ops)
	return err
}
