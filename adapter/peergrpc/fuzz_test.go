package peergrpc

import (
	"context"
	"math"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	cellv1 "github.com/bulrushrelay/bulrushrelay/api/cell/v1"
	peerv1 "github.com/bulrushrelay/bulrushrelay/api/peer/v1"
	"github.com/bulrushrelay/bulrushrelay/core/admission"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/membership"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/request"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
	"github.com/bulrushrelay/bulrushrelay/relay/config"
)

// marshalSeeds returns the encoded messages, as seeds of a fuzz test.
func marshalSeeds(f *testing.F, messages ...proto.Message) [][]byte {
	var out [][]byte
	for _, m := range messages {
		b, err := proto.Marshal(m)
		require.NoError(f, err)
		out = append(out, b)
	}
	return out
}

// viewHandler answers exchanges from a real membership view, so that malformed states reach its merge.
type viewHandler struct {
	*fakeGossipHandler
	view *membership.View
	now  time.Time
}

func newViewHandler(now time.Time) *viewHandler {
	self := ident.Instance{Host: "b", Incarnation: 2}
	return &viewHandler{fakeGossipHandler: &fakeGossipHandler{}, now: now, view: membership.New(membership.DefaultConfig(self), membership.Payload{}, now)}
}

func (v *viewHandler) HandleExchange(r membership.Request) (membership.Reply, ownership.Report) {
	return v.view.HandleRequest(r, v.now), ownership.Report{From: v.view.Self().Instance}
}

// Guards against gossip messages that cause a panic, put a member without a name or with a negative age into the view,
// or change the receiver's own state in it.
func FuzzGossip(f *testing.F) {
	m := encodeMembers([]membership.Member{sampleMember()})
	own := encodeMembers([]membership.Member{{Instance: ident.Instance{Host: "b", Incarnation: 2}, Health: membership.Dead, Refutation: math.MaxUint32}})
	for _, b := range marshalSeeds(f,
		&peerv1.ExchangeRequest{From: &peerv1.Instance{Host: "a", Incarnation: 1}, Updates: m, Have: encodeStamps([]membership.Stamp{{}})},
		&peerv1.ExchangeRequest{From: &peerv1.Instance{Host: "a"}, Updates: own},
		&peerv1.ExchangeReply{From: &peerv1.Instance{Host: "a"}, Updates: m, Report: &peerv1.Report{From: &peerv1.Instance{Host: "a"}, ContactAgeMs: math.MaxInt64}},
		&peerv1.FenceRequest{Cell: math.MaxUint32, Epoch: math.MaxUint64}, &peerv1.ProbeRequest{TargetAddress: "x"},
	) {
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		now := time.Unix(1_800_000_000, 0)
		h := newViewHandler(now)
		s := &GossipServer{handler: h}
		var exchange peerv1.ExchangeRequest
		if proto.Unmarshal(b, &exchange) == nil {
			reply, err := s.Exchange(t.Context(), &exchange)
			require.Equal(t, exchange.GetFrom().GetHost() == "", err != nil)
			require.Equal(t, reply == nil, err != nil)
		}
		var reply peerv1.ExchangeReply
		if proto.Unmarshal(b, &reply) == nil {
			h.view.HandleReply(decodeExchangeReply(&reply), now)
			require.GreaterOrEqual(t, decodeReport(reply.GetReport()).ContactAge, time.Duration(0))
		}
		for _, m := range h.view.Members() {
			require.NotEmpty(t, m.Instance.Host)
			require.GreaterOrEqual(t, m.Payload.ContactAge, time.Duration(0))
		}
		require.Equal(t, ident.Incarnation(2), h.view.Self().Instance.Incarnation)
		var probe peerv1.ProbeRequest
		if proto.Unmarshal(b, &probe) == nil {
			_, err := s.Probe(t.Context(), &probe)
			require.NoError(t, err)
		}
		var fence peerv1.FenceRequest
		if proto.Unmarshal(b, &fence) == nil {
			_, err := s.Fence(t.Context(), &fence)
			require.NoError(t, err)
		}
	})
}

// Guards against a request from a peer that causes a panic, runs after its deadline or gets an unbounded deadline, and
// against an answer that causes a panic when it is written to a caller.
func FuzzRequests(f *testing.F) {
	r := &peerv1.Request{Id: "1", Class: "c", Method: "POST", Path: "/x", Headers: []*peerv1.Header{{Name: "\n"}}, BudgetUs: math.MaxInt64}
	key := "k1.a.1.1.00000000000000000000000000000000"
	for _, b := range marshalSeeds(f,
		&peerv1.ExecuteRequest{Request: r, Cell: math.MaxUint32}, &peerv1.ExecuteKeyedRequest{Request: r, Key: key},
		&peerv1.ExecuteReply{Result: &peerv1.ExecuteReply_Answer{Answer: &peerv1.Answer{Status: 99}}},
		&peerv1.ExecuteReply{Result: &peerv1.ExecuteReply_Failure{Failure: &peerv1.Failure{Verdict: "not-run", RetryAfterMs: math.MinInt64}}},
		&peerv1.TransferLedgerRequest{Host: "a", Last: true, Records: []*peerv1.LedgerRecord{{Key: key, State: "future", Answer: &peerv1.Answer{Status: -1}}}},
	) {
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		began := time.Now()
		s := NewRequestServer(&fakeRequestHandler{execute: func(_ context.Context, r request.Request) (request.Answer, error) {
			require.NotEmpty(t, r.ID)
			require.WithinRange(t, r.Deadline, began, time.Now().Add(maxTimeBudget))
			return request.Answer{Status: http.StatusOK}, nil
		}})
		var execute peerv1.ExecuteRequest
		if proto.Unmarshal(b, &execute) == nil {
			checkReply(t, s.Execute, &execute)
		}
		var keyed peerv1.ExecuteKeyedRequest
		if proto.Unmarshal(b, &keyed) == nil {
			checkReply(t, s.ExecuteKeyed, &keyed)
		}
		var reply peerv1.ExecuteReply
		if proto.Unmarshal(b, &reply) == nil {
			answer, err := replyFromMessage(&reply)
			if err == nil {
				httptest.NewRecorder().WriteHeader(answer.Status)
			} else {
				require.GreaterOrEqual(t, verdict.FromError(err).RetryAfter, time.Duration(0))
			}
		}
		var transfer peerv1.TransferLedgerRequest
		if proto.Unmarshal(b, &transfer) == nil {
			for _, m := range transfer.GetRecords() {
				record := ledgerRecordFromMessage(m)
				require.Equal(t, m.GetState() == ledgerStateDone, record.Ran)
				if record.AnswerKept {
					httptest.NewRecorder().WriteHeader(record.Answer.Status)
				}
			}
		}
	})
}

func checkReply[R any](t *testing.T, call func(context.Context, R) (*peerv1.ExecuteReply, error), r R) {
	reply, err := call(t.Context(), r)
	require.NoError(t, err)
	_, err = replyFromMessage(reply)
	if err != nil {
		require.NotEmpty(t, verdict.FromError(err).Verdict.String())
	}
}

// Guards against a job message from a peer that causes a panic, and against a job view that changes when it is encoded
// and decoded again.
func FuzzJobs(f *testing.F) {
	for _, b := range marshalSeeds(f,
		&peerv1.SubmitJobRequest{Cell: 1, Spec: jobSpecToMessage(jobView.Spec)}, &peerv1.GetJobReply{Job: jobViewToMessage(jobView)},
		&peerv1.SubmitJobRequest{Spec: &peerv1.JobSpec{Groups: []*cellv1.TaskGroup{{Count: math.MaxUint32, RunTimeMs: math.MinInt64}}}},
		&peerv1.GetJobRequest{Job: "1-2-3", WaitMs: math.MaxInt64}, &peerv1.ListJobsRequest{After: "x"}, &peerv1.CancelJobRequest{Job: "1-2"},
	) {
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		s := NewJobsServer(&fakeJobs{})
		var submit peerv1.SubmitJobRequest
		if proto.Unmarshal(b, &submit) == nil {
			_, err := s.Submit(t.Context(), &submit)
			require.NoError(t, err)
			for i, g := range jobSpecFromMessage(submit.GetSpec()).Groups {
				require.Equal(t, submit.GetSpec().GetGroups()[i].GetRunTimeMs() < 0, g.RunTime < 0)
			}
		}
		var get peerv1.GetJobRequest
		if proto.Unmarshal(b, &get) == nil {
			_, err := s.Get(t.Context(), &get)
			require.NoError(t, err)
		}
		var list peerv1.ListJobsRequest
		if proto.Unmarshal(b, &list) == nil {
			_, err := s.List(t.Context(), &list)
			require.NoError(t, err)
		}
		var cancel peerv1.CancelJobRequest
		if proto.Unmarshal(b, &cancel) == nil {
			_, err := s.Cancel(t.Context(), &cancel)
			require.NoError(t, err)
		}
		var reply peerv1.GetJobReply
		if proto.Unmarshal(b, &reply) == nil {
			if view, err := jobViewFromMessage(reply.GetJob()); err == nil {
				again, err := jobViewFromMessage(jobViewToMessage(view))
				require.NoError(t, err)
				require.Equal(t, view, again)
			}
		}
	})
}

// Guards against a table message from a peer that causes a panic, and against a digest that is accepted without a
// host.
func FuzzTable(f *testing.F) {
	row := table.Row{Name: "a", Kind: table.Batch, Tenant: "t", Weight: 1}
	tab := table.New(7, []table.Row{row})
	digest := digestToMessage(config.PeerDigest{Instance: ident.Instance{Host: "a"}, Digest: tab.Digest(), InForce: time.Second})
	reply, err := (&TableServer{source: &fakeTableSource{update: config.Update{
		Records: []table.Record{{Revision: 7, Delta: table.Delta{{Name: "a", After: &row}}, Marker: table.Marker{Revision: 7, Nonce: "0123456789abcdef"}}},
	}}}).Fetch(context.Background(), &peerv1.TableFetchRequest{Since: 6})
	require.NoError(f, err)
	for _, b := range marshalSeeds(f, digest, reply, &peerv1.TableFetchRequest{Since: math.MaxUint64}, &peerv1.TableDigest{Host: "a", InForceForMs: math.MinInt64}) {
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		source := &fakeTableSource{}
		s := &TableServer{source: source}
		var digest peerv1.TableDigest
		if proto.Unmarshal(b, &digest) == nil {
			if _, err := s.Digest(t.Context(), &digest); err == nil {
				require.NotEmpty(t, source.receivedDigest.Instance.Host)
				require.GreaterOrEqual(t, source.receivedDigest.StoreContact, time.Duration(-1))
			}
		}
		var fetch peerv1.TableFetchRequest
		if proto.Unmarshal(b, &fetch) == nil {
			_, err := s.Fetch(t.Context(), &fetch)
			require.Equal(t, fetch.GetEmpty(), err != nil)
		}
		var reply peerv1.TableFetchReply
		if proto.Unmarshal(b, &reply) != nil {
			return
		}
		update, err := updateFromMessage(&reply)
		if err != nil {
			return
		}
		for _, r := range update.Records {
			_, _ = tab.Apply(r.Revision, r.Delta)
		}
	})
}

// controllerLender answers loan requests from a real controller, so that malformed requests reach its limits.
type controllerLender struct{ controller *admission.Controller }

func (l controllerLender) Lend(_ ident.CellID, r admission.LoanRequest) admission.LoanReply {
	return l.controller.Lend(time.Unix(1, 0), r)
}

// Guards against a loan with a NaN or negative rate, with which the limits of the class would have no effect.
func FuzzLoans(f *testing.F) {
	for _, b := range marshalSeeds(f,
		&peerv1.LendRequest{Class: "c", Rate: math.NaN(), Concurrency: 1}, &peerv1.LendRequest{Class: "c", Rate: math.Inf(1), Concurrency: math.MinInt64},
		&peerv1.LendRequest{Class: "c", Rate: 1, Concurrency: 1}, &peerv1.LendReply{Rate: math.NaN(), Concurrency: -1},
	) {
		f.Add(b)
	}
	now := time.Unix(1, 0)
	tab := table.New(1, []table.Row{{Name: "c", Kind: table.LatencyCritical, Tenant: "t", Weight: 1, Rate: 100, Concurrency: 100}})
	f.Fuzz(func(t *testing.T, b []byte) {
		controller := admission.New(1)
		earlier := now.Add(-time.Hour)
		controller.SetTable(earlier, tab)
		controller.SetGrant(earlier, ownership.Grant{Cell: 0, Epoch: 1, Authority: ownership.Full})
		var lend peerv1.LendRequest
		if proto.Unmarshal(b, &lend) == nil {
			reply, err := (&loanServer{lender: controllerLender{controller}}).Lend(t.Context(), &lend)
			require.NoError(t, err)
			require.False(t, math.IsNaN(reply.GetRate()) || reply.GetRate() < 0 || reply.GetConcurrency() < 0)
			rate, concurrency := controller.EffectiveLimits(now, "c")
			require.True(t, rate >= 50 && rate <= 100 && concurrency >= 50 && concurrency <= 100, "%g %d", rate, concurrency)
		}
		var reply peerv1.LendReply
		if proto.Unmarshal(b, &reply) == nil {
			require.False(t, math.IsNaN(sanitizeRate(reply.GetRate())))
		}
	})
}
