package peergrpc

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/bulrushrelay/bulrushrelay/adapter/tablepb"
	peerv1 "github.com/bulrushrelay/bulrushrelay/api/peer/v1"
	tablev1 "github.com/bulrushrelay/bulrushrelay/api/table/v1"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/relay/config"
)

// AddressBook looks up the peer address of a host.
type AddressBook interface {
	Address(host ident.HostID) (string, bool)
}

// TableClient calls the TableSync service of other hosts. It implements config.Peers.
type TableClient struct {
	conns     Conns
	addresses AddressBook
}

var _ config.Peers = (*TableClient)(nil)

// NewTableClient returns a client over the given connections that looks up hosts in addresses.
func NewTableClient(conns Conns, addresses AddressBook) *TableClient {
	return &TableClient{conns: conns, addresses: addresses}
}

func (c *TableClient) client(host ident.HostID) (peerv1.TableSyncClient, error) {
	address, found := c.addresses.Address(host)
	if !found {
		return nil, fmt.Errorf("host %s has no known address", host)
	}
	conn, err := c.conns.Conn(address)
	if err != nil {
		return nil, fmt.Errorf("host %s: %w", host, err)
	}
	return peerv1.NewTableSyncClient(conn), nil
}

// Digest sends the digest of this host to another host and returns that host's digest.
func (c *TableClient) Digest(ctx context.Context, host ident.HostID, mine config.PeerDigest) (config.PeerDigest, error) {
	client, err := c.client(host)
	if err != nil {
		return config.PeerDigest{}, err
	}
	reply, err := client.Digest(ctx, digestToMessage(mine))
	if err != nil {
		return config.PeerDigest{}, fmt.Errorf("host %s: %w", host, err)
	}
	return digestFromMessage(reply)
}

// Fetch returns the records of a host that follow revision since, or a snapshot if full is set.
func (c *TableClient) Fetch(
	ctx context.Context, host ident.HostID, since table.Revision, full bool,
) (config.Update, error) {
	client, err := c.client(host)
	if err != nil {
		return config.Update{}, err
	}
	reply, err := client.Fetch(ctx, &peerv1.TableFetchRequest{Since: uint64(since), Empty: full})
	if err != nil {
		return config.Update{}, fmt.Errorf("host %s: %w", host, err)
	}
	return updateFromMessage(reply)
}

// TableSource gives access to the table of this host. *config.Service implements it.
type TableSource interface {
	HandleDigest(theirs config.PeerDigest) config.PeerDigest
	HandleFetch(since table.Revision, full bool) (config.Update, error)
}

// TableServer implements the TableSync service for other hosts.
type TableServer struct {
	peerv1.UnimplementedTableSyncServer
	source TableSource
}

// RegisterTable registers the TableSync service of source.
func RegisterTable(server grpc.ServiceRegistrar, source TableSource) {
	peerv1.RegisterTableSyncServer(server, &TableServer{source: source})
}

// Digest implements peerv1.TableSyncServer.
func (s *TableServer) Digest(_ context.Context, m *peerv1.TableDigest) (*peerv1.TableDigest, error) {
	d, err := digestFromMessage(m)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return digestToMessage(s.source.HandleDigest(d)), nil
}

// Fetch implements peerv1.TableSyncServer.
func (s *TableServer) Fetch(_ context.Context, m *peerv1.TableFetchRequest) (*peerv1.TableFetchReply, error) {
	u, err := s.source.HandleFetch(table.Revision(m.GetSince()), m.GetEmpty())
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	reply := &peerv1.TableFetchReply{}
	for _, r := range u.Records {
		reply.Records = append(reply.Records, tablepb.FromRecord(r))
	}
	if u.Snapshot != nil {
		reply.Snapshot = tablepb.FromSnapshot(*u.Snapshot)
	}
	return reply, nil
}

func updateFromMessage(m *peerv1.TableFetchReply) (config.Update, error) {
	var u config.Update
	if m.GetSnapshot() != nil {
		snapshot, err := tablepb.ToSnapshot(m.GetSnapshot())
		if err != nil {
			return u, err
		}
		u.Snapshot = &snapshot
	}
	records, err := recordsFromMessages(m.GetRecords())
	u.Records = records
	return u, err
}

func recordsFromMessages(messages []*tablev1.Record) ([]table.Record, error) {
	records := make([]table.Record, 0, len(messages))
	for _, m := range messages {
		r, err := tablepb.ToRecord(m)
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}

func digestToMessage(d config.PeerDigest) *peerv1.TableDigest {
	return &peerv1.TableDigest{
		Host: string(d.Instance.Host), Incarnation: uint64(d.Instance.Incarnation), Loaded: d.Loaded,
		Revision: uint64(d.Revision), Digest: d.Digest[:], InForceForMs: d.InForce.Milliseconds(),
		StoreContactAgeMs: ageToMs(d.StoreContact), KnownStoreContactAgeMs: ageToMs(d.KnownStoreContact),
	}
}

// ageToMs encodes an age in milliseconds. A negative age, which stands for "never", becomes -1.
func ageToMs(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return d.Milliseconds()
}

// maxAgeMs bounds received ages to a year, so that an invalid one does not overflow.
const maxAgeMs = int64(365 * 24 * time.Hour / time.Millisecond)

// ageFromMs decodes an age in milliseconds. A negative one stands for "never" and becomes -1.
func ageFromMs(ms int64) time.Duration {
	if ms < 0 {
		return -1
	}
	return time.Duration(min(ms, maxAgeMs)) * time.Millisecond
}

// durationFromMs decodes a duration in milliseconds. A negative one becomes 0.
func durationFromMs(ms int64) time.Duration {
	return max(0, ageFromMs(ms))
}

func digestFromMessage(m *peerv1.TableDigest) (config.PeerDigest, error) {
	if m.GetHost() == "" {
		return config.PeerDigest{}, errors.New("digest names no host")
	}
	digest, err := tablepb.ToDigest(m.GetDigest())
	if err != nil {
		return config.PeerDigest{}, err
	}
	return config.PeerDigest{
		Instance: ident.Instance{Host: ident.HostID(m.GetHost()), Incarnation: ident.Incarnation(m.GetIncarnation())},
		Loaded:   m.GetLoaded(), Revision: table.Revision(m.GetRevision()), Digest: digest,
		InForce: ageFromMs(m.GetInForceForMs()), StoreContact: ageFromMs(m.GetStoreContactAgeMs()),
		KnownStoreContact: ageFromMs(m.GetKnownStoreContactAgeMs()),
	}, nil
}
