package peergrpc

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	peerv1 "github.com/bulrushrelay/bulrushrelay/api/peer/v1"
	"github.com/bulrushrelay/bulrushrelay/core/admission"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ledger"
	"github.com/bulrushrelay/bulrushrelay/core/membership"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/request"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
	"github.com/bulrushrelay/bulrushrelay/relay/config"
)

// release describes a release of the program: the versions that it sends and how its messages differ from the current
// ones.
type release struct {
	name string
	// versions is nil for a release that sends no versions.
	versions *versionRange
	rewrite  func(m proto.Message)
}

var (
	older   = release{name: "older", rewrite: removeLaterFields}
	current = release{name: "current", versions: &supportedVersions, rewrite: func(proto.Message) {}}
	newer   = release{name: "newer", versions: &versionRange{version: ProtocolVersion + 1, minimum: ProtocolVersion - 1}, rewrite: addUnknownFields}
)

// removeLaterFields clears the fields that the first release of version 1 does not send.
func removeLaterFields(m proto.Message) {
	switch m := m.(type) {
	case *peerv1.ExecuteRequest:
		m.Request.DeadlineUnixUs = 0
	case *peerv1.ExecuteKeyedRequest:
		m.Request.DeadlineUnixUs = 0
	default:
	}
}

// addUnknownFields adds an integer and a string under unknown field numbers to a message and to all messages in it.
func addUnknownFields(m proto.Message) {
	addUnknown(m.ProtoReflect())
}

func addUnknown(m protoreflect.Message) {
	m.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		switch {
		case field.IsMap() || field.Message() == nil:
		case field.IsList():
			for i := range value.List().Len() {
				addUnknown(value.List().Get(i).Message())
			}
		default:
			addUnknown(value.Message())
		}
		return true
	})
	unknown := protowire.AppendVarint(protowire.AppendTag(nil, 1001, protowire.VarintType), 7)
	unknown = protowire.AppendString(protowire.AppendTag(unknown, 1002, protowire.BytesType), "future")
	m.SetUnknown(append(m.GetUnknown(), unknown...))
}

// peerHost holds the fake handlers of all services between relay hosts.
type peerHost struct {
	requests     *fakeRequestHandler
	gossip       *fakeGossipHandler
	table        *fakeTableSource
	jobs         *fakeJobs
	receivedLoan admission.LoanRequest
	address      string
}

func (h *peerHost) Lend(_ ident.CellID, r admission.LoanRequest) admission.LoanReply {
	h.receivedLoan = r
	return admission.LoanReply{Rate: 2.5, Concurrency: 3}
}

func startHost(t *testing.T, r release) *peerHost {
	member := sampleMember()
	row := table.Row{Name: "a", Kind: table.Batch, Tenant: "t", Weight: 1}
	tab := table.New(7, []table.Row{row})
	h := &peerHost{
		requests: &fakeRequestHandler{execute: func(_ context.Context, r request.Request) (request.Answer, error) {
			return request.Answer{Status: http.StatusOK, Body: r.Body, Target: "t1"}, nil
		}},
		gossip: &fakeGossipHandler{
			reply:  membership.Reply{From: ident.Instance{Host: "b"}, Digest: 5, Updates: []membership.Member{member}, Window: []membership.Stamp{member.Stamp()}},
			report: ownership.Report{From: ident.Instance{Host: "b"}, Established: true, Contacts: 4, ContactAge: time.Second, KnownDigest: 6},
		},
		table: &fakeTableSource{
			ownDigest: config.PeerDigest{Instance: ident.Instance{Host: "b"}, Loaded: true, Revision: 7, Digest: tab.Digest()},
			update:    config.Update{Records: []table.Record{}, Snapshot: &table.Snapshot{Table: tab, Digest: tab.Digest()}},
		},
		jobs: &fakeJobs{},
	}
	options := []grpc.ServerOption{grpc.ChainUnaryInterceptor(
		func(ctx context.Context, m any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
			reply, err := next(ctx, m)
			if err == nil {
				r.rewrite(reply.(proto.Message))
			}
			return reply, err
		})}
	if r.versions != nil {
		options = append(options, r.versions.serverOptions()...)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := grpc.NewServer(append(baseServerOptions(insecure.NewCredentials()), options...)...)
	peerv1.RegisterRequestsServer(server, NewRequestServer(h.requests))
	peerv1.RegisterJobsServer(server, NewJobsServer(h.jobs))
	RegisterGossip(server, h.gossip)
	RegisterTable(server, h.table)
	RegisterLoans(server, h)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	h.address = listener.Addr().String()
	return h
}

func (r release) pool(t *testing.T) *Pool {
	options := []grpc.DialOption{grpc.WithChainUnaryInterceptor(func(
		ctx context.Context, method string, m, reply any, conn *grpc.ClientConn, next grpc.UnaryInvoker, opts ...grpc.CallOption,
	) error {
		r.rewrite(m.(proto.Message))
		return next(ctx, method, m, reply, conn, opts...)
	})}
	if r.versions != nil {
		options = append(options, r.versions.dialOptions()...)
	}
	pool := newPool(insecure.NewCredentials(), options...)
	t.Cleanup(pool.Close)
	return pool
}

// Guards against failures during a rolling upgrade: hosts of neighbouring releases must understand each other's
// requests, gossip, table, jobs and loans in both directions.
func TestAdjacentReleasesAreCompatible(t *testing.T) {
	for _, pair := range [][2]release{{older, current}, {current, older}, {current, newer}, {newer, current}, {older, newer}, {newer, older}} {
		t.Run(pair[0].name+"_calls_"+pair[1].name, func(t *testing.T) {
			h := startHost(t, pair[1])
			pool := pair[0].pool(t)
			t.Run("requests", func(t *testing.T) { checkRequestCalls(t, h, pool) })
			t.Run("gossip", func(t *testing.T) { checkGossipCalls(t, h, pool) })
			t.Run("table", func(t *testing.T) { checkTableCalls(t, h, pool) })
			t.Run("jobs", func(t *testing.T) { checkJobCalls(t, h, pool) })
			t.Run("loans", func(t *testing.T) { checkLoanCalls(t, h, pool) })
		})
	}
}

func checkRequestCalls(t *testing.T, h *peerHost, pool *Pool) {
	c := NewRequestClient(pool)
	r := newRequest()
	r.Body = []byte("body")
	want := request.Answer{Status: http.StatusOK, Headers: []request.Header{}, Body: r.Body, Target: "t1"}
	answer, err := c.Execute(t.Context(), h.address, 1, r)
	require.NoError(t, err)
	require.Equal(t, want, answer)
	key, err := ledger.ParseKey("k1.b.1.1.00000000000000000000000000000000")
	require.NoError(t, err)
	answer, err = c.ExecuteKeyed(t.Context(), h.address, key, r)
	require.NoError(t, err)
	require.Equal(t, want, answer)
	records := []ledger.Record{{Key: key.String(), Fingerprint: 7, Ran: true}}
	require.NoError(t, c.TransferLedger(t.Context(), h.address, ident.Instance{Host: "a"}, time.Hour, records))
	require.Equal(t, records, h.requests.adopted)
}

func checkGossipCalls(t *testing.T, h *peerHost, pool *Pool) {
	c := NewGossipClient(ident.Instance{Host: "a", Incarnation: 1}, pool)
	member := sampleMember()
	sent := membership.Request{From: ident.Instance{Host: "a"}, Digest: 8, Updates: []membership.Member{member}, Have: []membership.Stamp{member.Stamp()}}
	reply, report, err := c.Exchange(t.Context(), h.address, sent)
	require.NoError(t, err)
	require.Equal(t, sent, h.gossip.request)
	require.Equal(t, h.gossip.reply, reply)
	require.Equal(t, h.gossip.report, report)
	_, reached, err := c.Probe(t.Context(), h.address, member.Instance, "x:1")
	require.NoError(t, err)
	require.True(t, reached)
	answer, err := c.Fence(t.Context(), h.address, 7, 11)
	require.NoError(t, err)
	require.Equal(t, h.gossip.HandleFence(7, 11), answer)
}

func checkTableCalls(t *testing.T, h *peerHost, pool *Pool) {
	c := NewTableClient(pool, fixedAddress(h.address))
	mine := config.PeerDigest{Instance: ident.Instance{Host: "a"}, StoreContact: -1, KnownStoreContact: -1}
	answer, err := c.Digest(t.Context(), "b", mine)
	require.NoError(t, err)
	require.Equal(t, mine, h.table.receivedDigest)
	require.Equal(t, h.table.ownDigest, answer)
	update, err := c.Fetch(t.Context(), "b", 6, false)
	require.NoError(t, err)
	require.Equal(t, h.table.update, update)
}

func checkJobCalls(t *testing.T, h *peerHost, pool *Pool) {
	c := NewJobsClient(pool)
	id, err := c.Submit(t.Context(), h.address, 1, jobView.Spec)
	require.NoError(t, err)
	require.Equal(t, jobView.Spec, h.jobs.spec)
	view, err := c.Get(t.Context(), h.address, id, 0, 10, 6, time.Second)
	require.NoError(t, err)
	require.Equal(t, jobView, view)
	views, err := c.List(t.Context(), h.address, 1, id, 10)
	require.NoError(t, err)
	require.Len(t, views, 1)
	require.NoError(t, c.Cancel(t.Context(), h.address, id))
}

func checkLoanCalls(t *testing.T, h *peerHost, pool *Pool) {
	loanRequest := admission.LoanRequest{ID: admission.LoanID{Borrower: 1, Epoch: 2, Seq: 3}, Class: "c", Rate: 4, Concurrency: 5}
	reply, err := NewLoanClient(pool).Lend(t.Context(), h.address, 2, loanRequest)
	require.NoError(t, err)
	require.Equal(t, loanRequest, h.receivedLoan)
	require.Equal(t, admission.LoanReply{ID: loanRequest.ID, Class: "c", Rate: 2.5, Concurrency: 3}, reply)
}

type fixedAddress string

func (a fixedAddress) Address(ident.HostID) (string, bool) { return string(a), true }

// Guards against a host below the minimum version that is not refused, and against a refusal that does not name the
// side to upgrade or yields MayHaveRun although the handler did not run.
func TestIncompatibleVersionIsRefused(t *testing.T) {
	strict := release{name: "strict", versions: &versionRange{version: ProtocolVersion + 2, minimum: ProtocolVersion + 1}, rewrite: addUnknownFields}
	for _, c := range []struct {
		from, to release
		advice   string
	}{
		{older, strict, "upgrade the sender"}, {current, strict, "upgrade the sender"}, {strict, current, "upgrade this host"},
	} {
		t.Run(c.from.name+"_calls_"+c.to.name, func(t *testing.T) {
			h := startHost(t, c.to)
			h.requests.execute = func(context.Context, request.Request) (request.Answer, error) {
				t.Error("a refused request ran")
				return request.Answer{}, nil
			}
			pool := c.from.pool(t)
			_, err := NewRequestClient(pool).Execute(t.Context(), h.address, 1, newRequest())
			require.ErrorContains(t, err, c.advice)
			_, submitErr := NewJobsClient(pool).Submit(t.Context(), h.address, 1, jobView.Spec)
			require.ErrorContains(t, submitErr, c.advice)
			if c.from.versions != nil {
				for _, err := range []error{err, submitErr} {
					require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
					require.Equal(t, verdict.CodeUnavailable, verdict.FromError(err).Code)
				}
			}
			_, _, err = NewGossipClient(ident.Instance{Host: "a"}, pool).Exchange(t.Context(), h.address, membership.Request{From: ident.Instance{Host: "a"}})
			require.ErrorContains(t, err, c.advice)
			_, err = NewTableClient(pool, fixedAddress(h.address)).Digest(t.Context(), "b", config.PeerDigest{Instance: ident.Instance{Host: "a"}})
			require.ErrorContains(t, err, c.advice)
			require.Error(t, NewRequestClient(pool).TransferLedger(t.Context(), h.address, ident.Instance{Host: "a"}, time.Hour, nil))
			require.Nil(t, h.requests.adopted)
			require.Empty(t, h.gossip.request.From.Host)
		})
	}
}

// Guards against a call to a method or service that only newer hosts have which is not answered with Unimplemented, or
// which yields MayHaveRun.
func TestUnknownMethodsAreRefused(t *testing.T) {
	h := startHost(t, current)
	conn, err := current.pool(t).Conn(h.address)
	require.NoError(t, err)
	for _, method := range []string{"/bulrushrelay.peer.v1.Requests/Future", "/bulrushrelay.peer.v1.Future/Call"} {
		err := conn.Invoke(t.Context(), method, &peerv1.ProbeRequest{}, &peerv1.ProbeReply{})
		require.Equal(t, codes.Unimplemented, status.Code(err))
		require.True(t, isRefusal(err))
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	emptyServer := grpc.NewServer(ServerOptions(insecure.NewCredentials())...)
	go func() { _ = emptyServer.Serve(listener) }()
	t.Cleanup(emptyServer.Stop)
	_, err = NewRequestClient(current.pool(t)).Execute(t.Context(), listener.Addr().String(), 1, newRequest())
	require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
}

// Guards against unknown enum values from a newer host that are decoded as a definite state: that a member left, that
// a request ran or did not run, or that a job is in some known state.
func TestUnknownEnumValuesAreInconclusive(t *testing.T) {
	stamp := decodeStamp(&peerv1.Stamp{Instance: &peerv1.Instance{Host: "a"}, Health: 9, Departure: 9})
	require.Equal(t, membership.Dead, stamp.Health)
	require.Equal(t, membership.Leaving, stamp.Departure)
	require.Equal(t, verdict.MayHaveRun, failureFromMessage(&peerv1.Failure{Verdict: "perhaps"}).Verdict)
	require.Equal(t, verdict.MayHaveRun, verdict.FromError(jobFailureFromMessage(&peerv1.Failure{Verdict: "perhaps"})).Verdict)
	_, err := replyFromMessage(&peerv1.ExecuteReply{})
	require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Verdict)
	require.False(t, ledgerRecordFromMessage(&peerv1.LedgerRecord{State: "future"}).Ran)
	view := jobViewToMessage(jobView)
	view.State = "hibernating"
	_, err = jobViewFromMessage(view)
	require.ErrorContains(t, err, "hibernating")
}

// Guards against a version header that causes a panic, or that is malformed but accepted.
func FuzzVersions(f *testing.F) {
	f.Add(supportedVersions.String())
	f.Add("3/1/later")
	f.Add("4294967296/1")
	f.Add("-1/")
	f.Fuzz(func(t *testing.T, header string) {
		v, err := parseVersions([]string{header})
		if err != nil {
			return
		}
		again, err := parseVersions([]string{v.String()})
		require.NoError(t, err)
		require.Equal(t, v, again)
		require.Equal(t, v.version >= supportedVersions.minimum && supportedVersions.version >= v.minimum, supportedVersions.checkPeer(v) == nil)
	})
}
