// Package hostlisthttp reads the platform's host list, JSON over HTTP, once a second.
package hostlisthttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/bulrushrelay/bulrushrelay/core/hostlist"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/internal/jsontext"
)

const (
	// Interval is the time between two reads. A target that leaves must get no work after 3 s, of which the list's own
	// lag takes a part.
	Interval    = time.Second
	idleTimeout = 30 * time.Second
	// maxListBytes bounds the list: 17,000 hosts take about 150 bytes each.
	maxListBytes = 16 << 20
	// maxDepth is how deep values are read; a field of an entry is at 3.
	maxDepth = 16
)

type entry struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	Kind       string `json:"kind"`
	DataCentre string `json:"data_centre"`
	Rack       string `json:"rack"`
	State      string `json:"state"`
}

type document struct {
	// Hosts is a pointer so that a document without a list is told from an empty list.
	Hosts *[]entry `json:"hosts"`
}

// rawDocument is a document whose entries are read one by one.
type rawDocument struct {
	Hosts *[]json.RawMessage `json:"hosts"`
}

// ErrUnchanged says that the list is the one that was read last.
var ErrUnchanged = errors.New("host list: unchanged")

// Client reads one host list. It is used by one goroutine.
type Client struct {
	url  string
	http *http.Client
	// tag is the entity tag of the last list. At 17,000 hosts, a list takes about 2.5 MB, which is not sent and decoded
	// each second if nothing changed.
	tag string
	// last is the list that was read last, and faults says which of its entries could not be read.
	last   []hostlist.Host
	faults error
}

// New returns a Client of the list at url. dial replaces the TCP dialer unless it is nil.
func New(url string, dial func(ctx context.Context, address string) (net.Conn, error)) *Client {
	c := &Client{url: url, http: &http.Client{Timeout: Interval}}
	if dial != nil {
		c.http.Transport = &http.Transport{IdleConnTimeout: idleTimeout, DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return dial(ctx, address)
		}}
	}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Read returns the list, or ErrUnchanged. An entry that cannot be read names no host, and the others hold: a host whose
// entry cannot be read keeps its last one, because a host that is no longer listed counts as stopped.
func (c *Client) Read(ctx context.Context) ([]hostlist.Host, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, err
	}
	if c.tag != "" {
		r.Header.Set("If-None-Match", c.tag)
	}
	response, err := c.http.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	switch {
	case response.StatusCode == http.StatusNotModified && c.tag != "":
		return nil, ErrUnchanged
	case response.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("host list: status %d", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxListBytes {
		return nil, fmt.Errorf("host list: more than %d bytes", maxListBytes)
	}
	l, err := decode(body)
	if err != nil {
		return nil, err
	}
	hosts := l.held(c.last)
	c.last, c.faults = hosts, l.faults
	// A tag that cannot be sent back would make every later read fail.
	c.tag = ""
	if tag := response.Header.Get("ETag"); httpguts.ValidHeaderFieldValue(tag) {
		c.tag = tag
	}
	return hosts, nil
}

// list is a list as it was read.
type list struct {
	hosts  []hostlist.Host
	faults error
	// unreadable holds the ids of the hosts whose entries cannot be read; nameless is set if there are entries whose ids
	// cannot be read either.
	unreadable map[string]bool
	nameless   bool
}

func decode(body []byte) (list, error) {
	entries, errs, err := entriesOf(body)
	if err != nil {
		return list{}, fmt.Errorf("host list: %w", err)
	}
	l := list{hosts: make([]hostlist.Host, 0, len(entries)), unreadable: make(map[string]bool)}
	seen := make(map[string]bool, len(entries))
	for i, e := range entries {
		h, err := e.host()
		if errs != nil && errs[i] != nil {
			err = errs[i]
		}
		if err == nil && seen[e.ID] {
			err = fmt.Errorf("id %q occurs twice", e.ID)
		}
		seen[e.ID] = true
		if err != nil {
			l.refuse(e.ID, fmt.Errorf("host list: entry %d: %w", i, err))
			continue
		}
		l.hosts = append(l.hosts, h)
	}
	// An entry does not hold beside another one of the same id: which of them is the host's own is not known.
	l.hosts = slices.DeleteFunc(l.hosts, func(h hostlist.Host) bool { return l.unreadable[h.ID] })
	return l, nil
}

// entriesOf reads the entries of a list. If one of them cannot be read, each is read by itself, which takes twice as long,
// and errs says why it cannot be read.
func entriesOf(body []byte) (entries []entry, errs []error, err error) {
	var d document
	if json.Unmarshal(body, &d) == nil && d.Hosts != nil {
		return *d.Hosts, nil, nil
	}
	var raw rawDocument
	if err := json.Unmarshal([]byte(jsontext.Prune(string(body), maxDepth)), &raw); err != nil {
		return nil, nil, err
	}
	if raw.Hosts == nil {
		return nil, nil, errors.New("no hosts field")
	}
	entries, errs = make([]entry, len(*raw.Hosts)), make([]error, len(*raw.Hosts))
	for i, text := range *raw.Hosts {
		errs[i] = json.Unmarshal(text, &entries[i])
	}
	return entries, errs, nil
}

func (l *list) refuse(id string, fault error) {
	if l.faults == nil {
		l.faults = fault
	}
	if id == "" {
		l.nameless = true
		return
	}
	l.unreadable[id] = true
}

// held returns the hosts of the list, and those of the last list whose entries cannot be read now.
func (l list) held(last []hostlist.Host) []hostlist.Host {
	if l.faults == nil {
		return l.hosts
	}
	listed := make(map[string]bool, len(l.hosts))
	for _, h := range l.hosts {
		listed[h.ID] = true
	}
	for _, h := range last {
		if !listed[h.ID] && (l.nameless || l.unreadable[h.ID]) {
			l.hosts = append(l.hosts, h)
		}
	}
	return l.hosts
}

func (e entry) host() (hostlist.Host, error) {
	if e.ID == "" || e.Address == "" || e.DataCentre == "" {
		return hostlist.Host{}, errors.New("id, address and data_centre are needed")
	}
	kind := hostlist.Kind(e.Kind)
	if kind != hostlist.Worker && kind != hostlist.Target {
		return hostlist.Host{}, fmt.Errorf("kind %q: want worker or target", e.Kind)
	}
	if e.State != "live" && e.State != "leaving" {
		return hostlist.Host{}, fmt.Errorf("state %q: want live or leaving", e.State)
	}
	return hostlist.Host{
		ID: e.ID, Address: e.Address, Kind: kind, DataCentre: ident.DataCentre(e.DataCentre), Rack: ident.Rack(e.Rack),
		Leaving: e.State == "leaving",
	}, nil
}

// Run reads the list now and each Interval until ctx ends. apply gets each list that changed, failed each error and the
// first entry of a list that cannot be read; the last list stays in force while reads fail. asked is called after each read, failed or not, with the time at which it
// began: the list in use is not older than that, as far as this host can know.
func (c *Client) Run(ctx context.Context, apply func([]hostlist.Host), failed func(error), asked func(began time.Time)) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		began := time.Now()
		hosts, err := c.Read(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrUnchanged):
		case err != nil:
			failed(err)
		default:
			if c.faults != nil {
				failed(c.faults)
			}
			apply(hosts)
		}
		asked(began)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
