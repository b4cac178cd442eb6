// Package daemon assembles the parts of a relay host into one process: Host runs requests and jobs, JobHost only
// jobs.
package daemon

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
)

// Settings configures one relay host.
type Settings struct {
	HostID     string
	DataCentre string
	// DataCentres lists all data centres in the same order on every host. Cell c belongs to DataCentres[c mod
	// len(DataCentres)].
	DataCentres []string
	// Cells is the number of cells of the deployment. It is fixed by the first host that writes it to the store.
	Cells int

	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	// AdvertiseAddress is the address at which other hosts reach PeerAddress; empty means PeerAddress itself.
	AdvertiseAddress string
	Seeds            []string

	StoreEndpoints []string
	// StoreCallRate is the maximum number of calls a second that this host sends to the key-value service.
	StoreCallRate float64
	HostListURL   string

	ReadTokens []string
	EditTokens []string

	TLSCertificate string
	TLSKey         string
	TLSCA          string
	Plain          bool

	LogFormat string
	LogLevel  string

	DrainTimeout time.Duration
	// LongestRequest is the maximum time for which a request may hold a slot of a target. For this long, a new owner
	// of a cell does not use the slots that requests of its unreachable predecessor may still hold.
	LongestRequest       time.Duration
	MaxCallerConnections int
	// MaxPeerConnections bounds the connections of other relay hosts. Each host keeps one.
	MaxPeerConnections int
	// KeyRetention is how long after its issue an idempotency key may be used. It is fixed by the first host that writes
	// it to the store.
	KeyRetention  time.Duration
	LedgerRecords int
	LedgerMB      int
	// EvacuationBound is the time from a request for the evacuation of a data centre until nothing more may start there; 0
	// turns evacuations off. It is the same on all hosts.
	EvacuationBound time.Duration
	// MilliCPU is the CPU capacity of this host in thousandths of a core; 0 if it is not known. Hosts with a higher
	// capacity are preferred as owners of cells.
	MilliCPU int
	// NoSpeculativeCopies turns off second attempts of overdue tasks.
	NoSpeculativeCopies bool
	// LookAhead turns look-ahead placement on; see placement.Options.
	LookAhead bool
	// OffRackSlowdown is how many times as long a task takes away from the rack with its data; 0 if it is not known.
	OffRackSlowdown float64
	ClientLimits
}

// AdvertisedAddress returns the address at which other hosts reach this one.
func (s Settings) AdvertisedAddress() string {
	if s.AdvertiseAddress != "" {
		return s.AdvertiseAddress
	}
	return s.PeerAddress
}

// policy returns the times and rules of the job service.
func (s Settings) policy() lifecycle.Policy {
	p := lifecycle.DefaultPolicy()
	p.SpeculativeCopies = !s.NoSpeculativeCopies
	return p
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Limits and defaults of the settings.
const (
	// minTokenLength is in characters.
	minTokenLength  = 16
	maxCells        = 4096
	minDrainTimeout = time.Second
	maxDrainTimeout = 10 * time.Minute
	maxConnections  = 100_000
	// maxStoreCallRate is in calls a second.
	maxStoreCallRate = 2000

	minLongestRequest = 100 * time.Millisecond
	maxLongestRequest = 10 * time.Minute

	// DefaultStoreCallRate is in calls a second. It keeps the whole deployment below the store's limits: nine hosts
	// at this rate send 450 calls a second.
	DefaultStoreCallRate = 50
	// DefaultLongestRequest is the default of LongestRequest. After the loss of an owner, the targets of its cell stand
	// idle for this long: at 30 s they got no request for 39 s.
	DefaultLongestRequest = 10 * time.Second

	// minEvacuationBound leaves time for several reads of the requests.
	minEvacuationBound = time.Second
	maxEvacuationBound = 10 * time.Minute
	maxOffRackSlowdown = 1000

	// DefaultMaxPeerConnections is many times the target number of relay hosts, 64, because a host that is replaced
	// leaves its connection open until keepalive finds it dead.
	DefaultMaxPeerConnections = 1024

	// minKeyRetention leaves time to repeat a request after its first deadline. maxKeyRetention keeps the ages of
	// keys far from overflow, and a ledger of the maximum size useful.
	minKeyRetention = time.Minute
	maxKeyRetention = 30 * 24 * time.Hour

	maxLedgerRecords = 4_000_000
	maxLedgerMB      = 16 << 10
	maxMilliCPU      = 1_000_000
)

// Validate returns one error that lists every fault of the settings.
func (s Settings) Validate() error {
	var faults faultList
	faults.checkName("host-id", s.HostID)
	faults.checkName("data-centre", s.DataCentre)
	for _, dc := range s.DataCentres {
		faults.checkName("data-centres", dc)
	}
	if !slices.Contains(s.DataCentres, s.DataCentre) {
		faults.add("data-centre", s.DataCentre, "one of data-centres: "+strings.Join(s.DataCentres, ", "))
	}
	faults.checkRange("cells", s.Cells, max(1, len(s.DataCentres)), maxCells, "cells")
	faults.checkListenAddress("caller-address", s.CallerAddress)
	faults.checkListenAddress("peer-address", s.PeerAddress)
	faults.checkListenAddress("operator-address", s.OperatorAddress)
	faults.checkDialAddress("advertise-address", s.AdvertisedAddress())
	for _, seed := range s.Seeds {
		faults.checkDialAddress("seeds", seed)
	}
	if len(s.StoreEndpoints) == 0 {
		faults.add("store-endpoints", "", "at least one IP address and port")
	}
	for _, endpoint := range s.StoreEndpoints {
		faults.checkDialAddress("store-endpoints", endpoint)
	}
	if s.StoreCallRate <= 0 || s.StoreCallRate > maxStoreCallRate {
		faults.add("store-call-rate", fmt.Sprint(s.StoreCallRate), fmt.Sprintf("more than 0, at most %d calls a second", maxStoreCallRate))
	}
	if !strings.HasPrefix(s.HostListURL, "http://") && !strings.HasPrefix(s.HostListURL, "https://") {
		faults.add("host-list-url", s.HostListURL, "an http or https URL")
	}
	for _, token := range slices.Concat(s.ReadTokens, s.EditTokens) {
		if len(token) < minTokenLength {
			faults.add("operator tokens", "(hidden)", fmt.Sprintf("at least %d characters each", minTokenLength))
		}
	}
	s.validateTLS(&faults)
	faults.checkOneOf("log-format", s.LogFormat, "text", "json")
	faults.checkOneOf("log-level", s.LogLevel, "error", "warning", "info", "debug")
	if s.DrainTimeout < minDrainTimeout || s.DrainTimeout > maxDrainTimeout {
		faults.add("drain-timeout", s.DrainTimeout.String(), fmt.Sprintf("%s to %s", minDrainTimeout, maxDrainTimeout))
	}
	if s.LongestRequest < minLongestRequest || s.LongestRequest > maxLongestRequest {
		faults.add("longest-request", s.LongestRequest.String(), fmt.Sprintf("%s to %s", minLongestRequest, maxLongestRequest))
	}
	if s.EvacuationBound != 0 && (s.EvacuationBound < minEvacuationBound || s.EvacuationBound > maxEvacuationBound) {
		faults.add("evacuation-bound", s.EvacuationBound.String(), fmt.Sprintf("0, or %s to %s", minEvacuationBound, maxEvacuationBound))
	}
	if valid := s.OffRackSlowdown >= 0 && s.OffRackSlowdown <= maxOffRackSlowdown; !valid {
		faults.add("off-rack-slowdown", fmt.Sprint(s.OffRackSlowdown), fmt.Sprintf("0 to %d", maxOffRackSlowdown))
	}
	faults.checkRange("max-caller-connections", s.MaxCallerConnections, 1, maxConnections, "connections")
	faults.checkRange("max-peer-connections", s.MaxPeerConnections, 1, maxConnections, "connections")
	// Key records are compared in whole milliseconds, so that a finer setting would not take effect.
	if s.KeyRetention < minKeyRetention || s.KeyRetention > maxKeyRetention || s.KeyRetention%time.Millisecond != 0 {
		faults.add("key-retention", s.KeyRetention.String(), fmt.Sprintf("%s to %s, in whole milliseconds", minKeyRetention, maxKeyRetention))
	}
	faults.checkRange("ledger-records", s.LedgerRecords, 1, maxLedgerRecords, "records")
	faults.checkRange("ledger-mb", s.LedgerMB, 1, maxLedgerMB, "MB")
	faults.checkRange("milli-cpu", s.MilliCPU, 0, maxMilliCPU, "thousandths of a core")
	s.validateClientLimits(&faults)
	return faults.err()
}

func (s Settings) validateTLS(faults *faultList) {
	filesGiven := s.TLSCertificate != "" || s.TLSKey != "" || s.TLSCA != ""
	switch {
	case s.Plain && filesGiven:
		faults.add("plain", "true", "no TLS files together with plain")
	case s.Plain:
	case s.TLSCertificate == "" || s.TLSKey == "" || s.TLSCA == "":
		faults.add("tls-certificate, tls-key, tls-ca", "", "all three files, or plain for unencrypted connections")
	default:
		if _, err := tls.LoadX509KeyPair(s.TLSCertificate, s.TLSKey); err != nil {
			faults.add("tls-certificate, tls-key", s.TLSCertificate, "a readable certificate with its key: "+err.Error())
		}
	}
}

// faultList collects invalid settings, each with its name, its value and what is allowed.
type faultList struct {
	faults []error
}

func (f *faultList) add(name, value, allowed string) {
	f.faults = append(f.faults, fmt.Errorf("%s = %q: allowed: %s", name, value, allowed))
}

func (f *faultList) checkName(setting, value string) {
	if !namePattern.MatchString(value) {
		f.add(setting, value, "1 to 63 of a-z, 0-9 and -, starting with a letter or digit")
	}
}

func (f *faultList) checkRange(setting string, value, low, high int, unit string) {
	if value < low || value > high {
		f.add(setting, fmt.Sprint(value), fmt.Sprintf("%d to %d %s", low, high, unit))
	}
}

func (f *faultList) checkOneOf(setting, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		f.add(setting, value, strings.Join(allowed, ", "))
	}
}

// checkListenAddress accepts an IP address and port to listen on. Port 0 means any free port.
func (f *faultList) checkListenAddress(setting, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		f.add(setting, value, "an IP address and port, such as 127.0.0.1:7000")
	}
}

// checkDialAddress accepts an IP address and port that other hosts can dial. Host names are not accepted, because
// hosts know each other by IP address.
func (f *faultList) checkDialAddress(setting, value string) {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Addr().IsUnspecified() {
		f.add(setting, value, "an IP address other than 0.0.0.0 or ::, and a port")
	}
}

func (f *faultList) err() error {
	if len(f.faults) == 0 {
		return nil
	}
	return fmt.Errorf("invalid settings (%d):\n%w", len(f.faults), errors.Join(f.faults...))
}
