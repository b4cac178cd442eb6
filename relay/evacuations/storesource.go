package evacuations

import (
	"context"
	"strings"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/evacuation"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/store"
)

// keyPrefix is followed by the data centre of which the key requests the evacuation. The value is the reason.
const keyPrefix = "/evacuate/"

// watchTime is how long one watch lasts. It bounds how long a stream that has ended without notice stays unnoticed.
const watchTime = 3 * time.Second

// Reader is the subset of the key-value store that a StoreSource needs.
type Reader interface {
	Range(ctx context.Context, prefix string) (store.RangeResult, error)
	Watch(ctx context.Context, prefix string, from store.Revision) <-chan store.WatchBatch
}

// StoreSource reads the requests that an Operator writes. It implements Source.
type StoreSource struct {
	Store Reader
}

var _ Source = StoreSource{}

// List implements Source.
func (s StoreSource) List(ctx context.Context) (Listing, error) {
	r, err := s.Store.Range(ctx, keyPrefix)
	l := Listing{Revision: r.Revision}
	for _, e := range r.Entries {
		l.Requests = append(l.Requests, evacuation.Request{
			DataCentre: ident.DataCentre(strings.TrimPrefix(e.Key, keyPrefix)), Revision: e.CreateRevision, Reason: string(e.Value),
		})
	}
	return l, err
}

// Wait implements Source.
func (s StoreSource) Wait(ctx context.Context, after store.Revision) (changed bool, next store.Revision, err error) {
	ctx, cancel := context.WithTimeout(ctx, watchTime)
	defer cancel()
	for batch := range s.Store.Watch(ctx, keyPrefix, after) {
		return batch.Err == nil, max(after, batch.Revision), batch.Err
	}
	return false, after, nil
}

// Returned implements Source. A store whose watches end with an error tells its failures by them.
func (s StoreSource) Returned() <-chan struct{} { return nil }
