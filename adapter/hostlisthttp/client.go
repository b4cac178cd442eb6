// Package hostlisthttp polls the platform's host list, a JSON document served over HTTP.
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
	// PollInterval is the time between two reads. A leaving target must get no new work after 3 s, part of which is the
	// lag of the list itself.
	PollInterval = time.Second
	idleTimeout  = 30 * time.Second
	// maxListBytes bounds the response body. A list of 17,000 hosts has about 150 bytes for each.
	maxListBytes = 16 << 20
	// maxNestingDepth bounds the nesting of values that are decoded. The fields of an entry are at depth 3.
	maxNestingDepth = 16
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
	// Hosts is a pointer so that a missing list can be distinguished from an empty one.
	Hosts *[]entry `json:"hosts"`
}

// rawDocument is a document whose entries are decoded one by one.
type rawDocument struct {
	Hosts *[]json.RawMessage `json:"hosts"`
}

// ErrUnchanged means that the list has not changed since the last successful read.
var ErrUnchanged = errors.New("host list: unchanged")

// Client reads one host list. It is not safe for concurrent use.
type Client struct {
	url  string
	http *http.Client
	// etag is the entity tag of the last list. It avoids sending and decoding an unchanged list every second; a list of
	// 17,000 hosts takes about 2.5 MB.
	etag string
	// lastHosts is the result of the last read.
	lastHosts []hostlist.Host
	// entryErr says why the first unreadable entry of the last list was rejected; nil if there was none.
	entryErr error
}

// New returns a client for the list at url. dial replaces the TCP dialer unless it is nil.
func New(url string, dial func(ctx context.Context, address string) (net.Conn, error)) *Client {
	c := &Client{url: url, http: &http.Client{Timeout: PollInterval}}
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

// Read returns the list, or ErrUnchanged. An unreadable entry does not affect the other entries, and its host keeps the
// last valid entry, because a host that is no longer listed counts as stopped.
func (c *Client) Read(ctx context.Context) ([]hostlist.Host, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, err
	}
	if c.etag != "" {
		r.Header.Set("If-None-Match", c.etag)
	}
	response, err := c.http.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	switch {
	case response.StatusCode == http.StatusNotModified && c.etag != "":
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
	hosts := l.withLastKnown(c.lastHosts)
	c.lastHosts, c.entryErr = hosts, l.entryErr
	// A tag that is not a valid header value cannot be sent back and would make every later read fail.
	c.etag = ""
	if tag := response.Header.Get("ETag"); httpguts.ValidHeaderFieldValue(tag) {
		c.etag = tag
	}
	return hosts, nil
}

// decodedList is the content of one document.
type decodedList struct {
	// hosts are the hosts of the valid entries.
	hosts []hostlist.Host
	// entryErr says why the first unreadable entry was rejected; nil if there is none.
	entryErr error
	// unreadableIDs holds the IDs of the hosts with an unreadable entry.
	unreadableIDs map[string]bool
	// hasUnreadableID is set if even the ID of some unreadable entry is unknown.
	hasUnreadableID bool
}

func decode(body []byte) (decodedList, error) {
	entries, entryErrs, err := decodeEntries(body)
	if err != nil {
		return decodedList{}, fmt.Errorf("host list: %w", err)
	}
	l := decodedList{hosts: make([]hostlist.Host, 0, len(entries)), unreadableIDs: make(map[string]bool)}
	seen := make(map[string]bool, len(entries))
	for i, e := range entries {
		h, err := e.toHost()
		if entryErrs != nil && entryErrs[i] != nil {
			err = entryErrs[i]
		}
		if err == nil && seen[e.ID] {
			err = fmt.Errorf("id %q occurs twice", e.ID)
		}
		seen[e.ID] = true
		if err != nil {
			l.addUnreadable(e.ID, fmt.Errorf("host list: entry %d: %w", i, err))
			continue
		}
		l.hosts = append(l.hosts, h)
	}
	// If an ID occurs twice, it is not known which entry is the host's own, so neither is used.
	l.hosts = slices.DeleteFunc(l.hosts, func(h hostlist.Host) bool { return l.unreadableIDs[h.ID] })
	return l, nil
}

// decodeEntries decodes the entries of a list. If that fails, it decodes each entry separately, which takes twice as
// long; entryErrs then holds the error of each entry, or nil for a valid one.
func decodeEntries(body []byte) (entries []entry, entryErrs []error, err error) {
	var d document
	if json.Unmarshal(body, &d) == nil && d.Hosts != nil {
		return *d.Hosts, nil, nil
	}
	var raw rawDocument
	if err := json.Unmarshal([]byte(jsontext.Prune(string(body), maxNestingDepth)), &raw); err != nil {
		return nil, nil, err
	}
	if raw.Hosts == nil {
		return nil, nil, errors.New("no hosts field")
	}
	entries, entryErrs = make([]entry, len(*raw.Hosts)), make([]error, len(*raw.Hosts))
	for i, text := range *raw.Hosts {
		entryErrs[i] = json.Unmarshal(text, &entries[i])
	}
	return entries, entryErrs, nil
}

// addUnreadable records an unreadable entry. id is empty if it is unknown.
func (l *decodedList) addUnreadable(id string, err error) {
	if l.entryErr == nil {
		l.entryErr = err
	}
	if id == "" {
		l.hasUnreadableID = true
		return
	}
	l.unreadableIDs[id] = true
}

// withLastKnown returns the hosts of the list, and those hosts of the last list whose entries are now unreadable. If an
// unreadable entry has no known ID, every missing host of the last list is kept.
func (l decodedList) withLastKnown(last []hostlist.Host) []hostlist.Host {
	if l.entryErr == nil {
		return l.hosts
	}
	listed := make(map[string]bool, len(l.hosts))
	for _, h := range l.hosts {
		listed[h.ID] = true
	}
	for _, h := range last {
		if !listed[h.ID] && (l.hasUnreadableID || l.unreadableIDs[h.ID]) {
			l.hosts = append(l.hosts, h)
		}
	}
	return l.hosts
}

func (e entry) toHost() (hostlist.Host, error) {
	if e.ID == "" || e.Address == "" || e.DataCentre == "" {
		return hostlist.Host{}, fmt.Errorf("id %q, address %q, data_centre %q: none of them may be empty", e.ID, e.Address, e.DataCentre)
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

// Run reads the list at once and then every PollInterval until ctx ends. It calls onChange with each changed list, and
// onError with the error of each failed read and of the first unreadable entry of a changed list. While reads fail, the
// last list remains valid. After each read, failed or not, it calls onPolled with the time at which the read started:
// as far as this host can know, the list in use is not older than that.
func (c *Client) Run(ctx context.Context, onChange func([]hostlist.Host), onError func(error), onPolled func(start time.Time)) {
	ticker := time.NewTicker(PollInterval)
	defer ticker.Stop()
	for {
		start := time.Now()
		hosts, err := c.Read(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrUnchanged):
		case err != nil:
			onError(err)
		default:
			if c.entryErr != nil {
				onError(c.entryErr)
			}
			onChange(hosts)
		}
		onPolled(start)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
