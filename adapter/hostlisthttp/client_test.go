package hostlisthttp

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/cellmap"
	"github.com/bulrushrelay/bulrushrelay/core/hostlist"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	standin "github.com/bulrushrelay/bulrushrelay/standin/hostlist"
)

func hostEntry(id, kind, state string) standin.Host {
	return standin.Host{ID: id, Address: "127.0.0.1:1", Kind: kind, DataCentre: "nelson", Rack: "r1", State: state}
}

// Guards against lost or changed fields, against dropping the last list while the service is down, and against a cell
// that is not told that its last target is gone.
func TestPollingFollowsTheList(t *testing.T) {
	l, err := standin.Start("127.0.0.1:0", 0)
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	l.Set([]standin.Host{hostEntry("t1", "target", "live"), hostEntry("t2", "target", "leaving"), hostEntry("w1", "worker", "live")})
	ctx, cancel := context.WithCancel(context.Background())
	lists, failures := make(chan []hostlist.Host), make(chan error)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		New(l.URL(), nil).Run(ctx, func(h []hostlist.Host) { lists <- h }, func(err error) { failures <- err }, func(time.Time) {})
	}()
	hosts := <-lists
	require.Equal(t, hostlist.Host{
		ID: "t2", Address: "127.0.0.1:1", Kind: hostlist.Target, DataCentre: "nelson", Rack: "r1", Leaving: true,
	}, hosts[1])
	cells := cellmap.New(2, []ident.DataCentre{"nelson"})
	split := hostlist.Targets(hosts, cells)
	require.Len(t, split, 2)
	require.Len(t, append(split[0], split[1]...), 2, "a rack is in one cell, and a worker is no target")

	l.SetDown(true)
	require.Error(t, <-failures)
	l.SetDown(false)
	l.Set(nil)
	require.Empty(t, <-lists)
	require.Equal(t, 2, len(hostlist.Targets(nil, cells)))
	cancel()
	<-ended
}

// Guards against a stand-in that publishes changes at once, although the platform's list lags.
func TestStandInListLags(t *testing.T) {
	l, err := standin.Start("127.0.0.1:0", time.Hour)
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	l.Set([]standin.Host{hostEntry("t1", "target", "live")})
	c := New(l.URL(), nil)
	hosts, err := c.Read(context.Background())
	require.NoError(t, err)
	require.Empty(t, hosts)
	_, err = c.Read(context.Background())
	require.ErrorIs(t, err, ErrUnchanged)
}

// Guards against malformed lists that are accepted and make hosts disappear.
func TestMalformedListsAreRejected(t *testing.T) {
	for _, body := range []string{``, `{}`, `[]`, `{"hosts":null}`, `{"hosts":{}}`, `{"hosts":[`} {
		_, err := decode([]byte(body))
		require.Error(t, err, body)
	}
}

// Guards against one unreadable entry that blocks all updates, so that a leaving target continues to get work, and
// against treating the host of that entry as stopped.
func TestUnreadableEntryHidesNoHost(t *testing.T) {
	const (
		valid = `{"id":"a","address":"127.0.0.1:1","data_centre":"c","kind":"target","state":"live"}`
		other = `{"id":"b","address":"127.0.0.1:2","data_centre":"c","kind":"target","state":"live"}`
	)
	leaving := strings.Replace(other, "live", "leaving", 1)
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for name, unreadable := range map[string]string{
		"kind": `{"id":"a","address":"b","data_centre":"c","kind":"printer","state":"live"}`, "twice": valid + "," + valid,
		"state":   `{"id":"a","address":"127.0.0.1:1","data_centre":"c","kind":"target","state":"gone"}`,
		"type":    `{"id":"a","address":7,"data_centre":"c","kind":"target","state":"live"}`,
		"nesting": `{"id":"a","address":` + deep + `}`, "number": `{"id":"a","address":1e999}`,
		"empty": `{}`, "null": `null`, "list": `[]`, "id": `{"id":` + deep + `}`,
	} {
		t.Run(name, func(t *testing.T) {
			bodies := []string{`{"hosts":[` + valid + `,` + other + `]}`, `{"hosts":[` + unreadable + `,` + leaving + `]}`, `{"hosts":[` + leaving + `]}`}
			var served int
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(bodies[served]))
			}))
			defer s.Close()
			c := New(s.URL, nil)
			defer c.Close()
			first, err := c.Read(t.Context())
			require.NoError(t, err)
			require.NoError(t, c.entryErr)
			served = 1
			second, err := c.Read(t.Context())
			require.NoError(t, err)
			require.Error(t, c.entryErr)
			slices.SortFunc(second, func(a, b hostlist.Host) int { return strings.Compare(a.ID, b.ID) })
			require.Len(t, second, 2)
			require.Equal(t, first[0], second[0], "the host with the unreadable entry keeps its last valid one")
			require.True(t, second[1].Leaving)
			served = 2
			third, err := c.Read(t.Context())
			require.NoError(t, err)
			require.NoError(t, c.entryErr)
			require.Len(t, third, 1, "the host is no longer listed")
		})
	}
	l, err := decode([]byte(`{"hosts":[` + strings.Replace(valid, "live", "gone", 1) + `,` + other + `]}`))
	require.NoError(t, err)
	require.Len(t, l.withLastKnown(nil), 1, "an unreadable entry without an earlier valid one adds no host")
}
