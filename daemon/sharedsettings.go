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
	// layoutKey is the store key of the deployment's cell layout, and retentionKey that of its key retention.
	layoutKey    = "/cells"
	retentionKey = "/key-retention"
	// legacyRetention is the key retention of a deployment without retentionKey. Earlier versions, whose hosts may
	// still be running, used this constant.
	legacyRetention = 24 * time.Hour
)

var (
	// ErrLayoutMismatch is returned if the cell layout in the settings differs from the one in the store. Two hosts
	// with different layouts would both own the same workers and targets.
	ErrLayoutMismatch = errors.New("the settings cells and data-centres differ from those of the deployment")
	// ErrRetentionMismatch is returned if the key retention in the settings differs from the one in the store. After
	// a hand-over of records, the host with the longer retention could run a request a second time.
	ErrRetentionMismatch = errors.New("the setting key-retention differs from that of the deployment")
)

// layout returns the cell layout as it is stored under layoutKey.
func (s Settings) layout() string {
	return fmt.Sprintf("%d cells over %s", s.Cells, strings.Join(s.DataCentres, ","))
}

// sharedSetting is a setting that must have the same value on all hosts.
type sharedSetting struct {
	key      string
	value    string
	mismatch error
}

// sharedSettings returns the settings that must be the same on all hosts. The cell layout comes first: the deployment
// already exists if the store holds it.
func (s Settings) sharedSettings() []sharedSetting {
	return []sharedSetting{
		{layoutKey, s.layout(), ErrLayoutMismatch},
		{retentionKey, s.KeyRetention.String(), ErrRetentionMismatch},
	}
}

// verifyingStore is the store that the cluster service uses. It grants no lease until the shared settings have been
// compared with those in the store, so that a host with differing settings owns nothing. A host that starts during an
// outage of the store takes part in gossip meanwhile.
type verifyingStore struct {
	store.Store
	settings []sharedSetting
	verified atomic.Bool
	// mismatch receives the error about differing settings, at most once.
	mismatch chan error
}

func newVerifyingStore(s store.Store, settings []sharedSetting) *verifyingStore {
	return &verifyingStore{Store: s, settings: settings, mismatch: make(chan error, 1)}
}

// Grant implements store.Store.
func (v *verifyingStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if !v.verified.Load() {
		if err := v.verify(ctx); err != nil {
			return 0, err
		}
		v.verified.Store(true)
	}
	return v.Store.Grant(ctx, ttl)
}

// verify compares the shared settings with those in the store, and writes them there if this is the first host. It
// reads them back after the write, so that a lost answer to the write does no harm.
func (v *verifyingStore) verify(ctx context.Context) error {
	if err := v.writeMissing(ctx); err != nil {
		return err
	}
	var differing []error
	for _, s := range v.settings {
		entry, ok, err := v.Get(ctx, s.key)
		if err != nil || !ok {
			return errors.Join(err, fmt.Errorf("setting under store key %s could not be read back", s.key))
		}
		if found := string(entry.Value); found != s.value {
			differing = append(differing, fmt.Errorf("%w: this host has %s, the deployment has %s", s.mismatch, s.value, found))
		}
	}
	err := errors.Join(differing...)
	if err != nil {
		select {
		case v.mismatch <- err:
		default:
		}
	}
	return err
}

// writeMissing writes the settings that the store lacks. It uses one transaction, so that two hosts that start first
// at the same time cannot mix their settings. In a deployment of an earlier version only the retention is missing;
// the value written is the one that its hosts use.
func (v *verifyingStore) writeMissing(ctx context.Context) error {
	var (
		compares []store.Compare
		ops      []store.Op
	)
	for _, s := range v.settings {
		_, ok, err := v.Get(ctx, s.key)
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
		ops[0].Value = []byte(legacyRetention.String())
	}
	_, err := v.Txn(ctx, compares, ops)
	return err
}
