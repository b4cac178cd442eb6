package deployment

import (
	"fmt"
	"time"

	"google.golang.org/grpc"

	"github.com/bulrushrelay/bulrushrelay/core/ledger"
	"github.com/bulrushrelay/bulrushrelay/daemon"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
	"github.com/bulrushrelay/bulrushrelay/standin/network"
)

// configureHosts creates the settings of all hosts before the first one starts, because the settings of each contain
// the addresses of others as seeds.
func (d *Deployment) configureHosts() error {
	for i := range d.options.Hosts {
		addresses, err := reserveAddresses(3)
		if err != nil {
			return err
		}
		h := &Host{deployment: d, Session: d.Store.Client(fmt.Sprintf("relay-%d", i+1))}
		storeAddress, err := d.serveStore(h.Session)
		if err != nil {
			return err
		}
		id := fmt.Sprintf("%s-%d", d.dataCentre(i), i/len(d.options.DataCentres)+1)
		if storeAddress, err = d.clientAddress("store/"+id, storeAddress); err != nil {
			return err
		}
		advertised, err := d.clientAddress("peer/"+id, addresses[1])
		if err != nil {
			return err
		}
		if _, err := d.clientAddress("caller/"+id, addresses[0]); err != nil {
			return err
		}
		h.Settings = daemon.Settings{
			HostID: id, DataCentre: d.dataCentre(i), MilliCPU: d.milliCPU(i), AdvertiseAddress: advertised,
			DataCentres: d.options.DataCentres, Cells: d.options.Cells,
			CallerAddress: addresses[0], PeerAddress: addresses[1], OperatorAddress: addresses[2],
			StoreEndpoints: []string{storeAddress}, StoreCallRate: daemon.DefaultStoreCallRate, HostListURL: d.HostList.URL(),
			EditTokens: []string{OperatorToken}, Plain: true, LogFormat: "text", LogLevel: d.options.LogLevel,
			DrainTimeout: 30 * time.Second, LongestRequest: daemon.DefaultLongestRequest,
			MaxCallerConnections: 4096, MaxPeerConnections: daemon.DefaultMaxPeerConnections, KeyRetention: ledger.DefaultRetention,
			LedgerRecords: 500_000, LedgerMB: 256, EvacuationBound: evacuationBound,
		}
		if h.Settings.LogLevel == "" {
			h.Settings.LogLevel = "info"
		}
		d.Hosts = append(d.Hosts, h)
	}
	for _, h := range d.Hosts {
		for _, seed := range d.Hosts[:min(3, len(d.Hosts))] {
			h.Settings.Seeds = append(h.Settings.Seeds, seed.Settings.AdvertisedAddress())
		}
	}
	return nil
}

// serveStore serves a session of the key-value service on a port of its own, so that faults can be injected per host.
// It returns the address.
func (d *Deployment) serveStore(s *kv.Session) (string, error) {
	l, err := d.listen()
	if err != nil {
		return "", err
	}
	server := grpc.NewServer()
	kv.Register(server, s)
	d.closeFuncs = append(d.closeFuncs, server.Stop)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// milliCPU returns the configured CPU capacity of relay host i. The first host of each data centre is the strong one.
func (d *Deployment) milliCPU(i int) int {
	if i < len(d.options.DataCentres) {
		return d.options.StrongMilliCPU
	}
	return d.options.WeakMilliCPU
}

// StrongMilliCPU returns the configured CPU capacity of strong hosts, in thousandths of a core.
func (d *Deployment) StrongMilliCPU() int {
	return d.options.StrongMilliCPU
}

// clientAddress returns the address that clients of a server connect to: that of a new proxy if the deployment uses
// proxies, otherwise that of the server.
func (d *Deployment) clientAddress(proxyName, server string) (string, error) {
	if !d.options.UseProxies {
		return server, nil
	}
	p, err := network.StartProxy(server)
	if err != nil {
		return "", err
	}
	d.Proxies[proxyName] = p
	d.closeFuncs = append(d.closeFuncs, func() { _ = p.Close() })
	return p.Address(), nil
}
