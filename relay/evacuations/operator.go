package evacuations

import (
	"context"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/bulrushrelay/bulrushrelay/core/evacuation"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// maxReasonBytes is the longest reason of a request.
const maxReasonBytes = 200

// Writer is the subset of the key-value store that an Operator needs.
type Writer interface {
	Reader
	Get(ctx context.Context, key string) (store.Entry, bool, error)
	Txn(ctx context.Context, compares []store.Compare, ops []store.Op) (store.TxnResult, error)
}

// Overview is the requests in force and what is still on the evacuated workers of the cells of this host.
type Overview struct {
	Revision store.Revision
	Requests []evacuation.Request
	// Evacuated covers Cells of all cells of the deployment; their owners know of the others.
	Evacuated       []lifecycle.EvacuatedCentre
	Cells, AllCells int
}

// Operator makes and withdraws requests in the store of the product.
type Operator struct {
	Store Writer
	// Known reports whether the deployment has a data centre.
	Known func(ident.DataCentre) bool
	// Evacuated returns what is on the evacuated workers of the cells of this host, and the number of these cells.
	Evacuated func() ([]lifecycle.EvacuatedCentre, int)
	AllCells  int
}

// Start requests the evacuation of a data centre. It returns the request in force, which is an earlier one with its own
// reason if there is one.
func (o *Operator) Start(ctx context.Context, dc ident.DataCentre, reason string) (evacuation.Request, error) {
	if err := o.checkDataCentre(dc); err != nil {
		return evacuation.Request{}, err
	}
	if err := checkReason(reason); err != nil {
		return evacuation.Request{}, err
	}
	key := keyPrefix + string(dc)
	r, err := o.Store.Txn(ctx, []store.Compare{store.KeyAbsent(key)}, []store.Op{{Key: key, Value: []byte(reason)}})
	switch {
	case err != nil:
		return evacuation.Request{}, storeError(err, "request the evacuation of "+string(dc))
	case r.Outcome == store.Applied:
		return evacuation.Request{DataCentre: dc, Revision: r.Revision, Reason: reason}, nil
	}
	e, ok, err := o.Store.Get(ctx, key)
	switch {
	case err != nil:
		return evacuation.Request{}, verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "read the request for %s", dc)
	case !ok:
		return evacuation.Request{}, verdict.New(verdict.NotRun, verdict.CodeConflict, "the request for %s was withdrawn meanwhile", dc)
	}
	return evacuation.Request{DataCentre: dc, Revision: e.CreateRevision, Reason: string(e.Value)}, nil
}

// Stop withdraws the request for a data centre, which need not exist in the deployment any more.
func (o *Operator) Stop(ctx context.Context, dc ident.DataCentre) error {
	if dc == "" || strings.Contains(string(dc), "/") {
		return verdict.New(verdict.NotRun, verdict.CodeInvalid, "data centre %q: want a name without slashes", dc)
	}
	key := keyPrefix + string(dc)
	e, ok, err := o.Store.Get(ctx, key)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "read the request for %s", dc)
	}
	if !ok {
		return verdict.New(verdict.NotRun, verdict.CodeNotFound, "data centre %q is not under evacuation", dc)
	}
	compare := store.Compare{Key: key, Field: store.FieldCreateRevision, Revision: e.CreateRevision}
	r, err := o.Store.Txn(ctx, []store.Compare{compare}, []store.Op{{Key: key, Delete: true}})
	if err != nil {
		return storeError(err, "withdraw the evacuation of "+string(dc))
	}
	if r.Outcome != store.Applied {
		return verdict.New(verdict.NotRun, verdict.CodeConflict, "the request for %s was replaced meanwhile", dc)
	}
	return nil
}

// List returns the requests in the store.
func (o *Operator) List(ctx context.Context) (Overview, error) {
	l, err := StoreSource{o.Store}.List(ctx)
	if err != nil {
		return Overview{}, verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "read the requests for evacuations")
	}
	v := Overview{Revision: l.Revision, Requests: l.Requests, AllCells: o.AllCells}
	v.Evacuated, v.Cells = o.Evacuated()
	return v, nil
}

func (o *Operator) checkDataCentre(dc ident.DataCentre) error {
	if !o.Known(dc) {
		return verdict.New(verdict.NotRun, verdict.CodeInvalid, "data centre %q: the deployment has no such data centre", dc)
	}
	return nil
}

func checkReason(reason string) error {
	valid := reason != "" && len(reason) <= maxReasonBytes && utf8.ValidString(reason) && !strings.ContainsFunc(reason, unicode.IsControl)
	if !valid {
		return verdict.New(verdict.NotRun, verdict.CodeInvalid,
			"reason of %d bytes: want 1 to %d bytes of text without control characters", len(reason), maxReasonBytes)
	}
	return nil
}

// storeError returns the error of a write, with what is known about its effect. A repeat is harmless in every case.
func storeError(err error, what string) error {
	if store.OutcomeOf(err) == store.NotApplied {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "%s", what)
	}
	return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUnknown, "%s: the outcome is unknown; repeat the call", what)
}
