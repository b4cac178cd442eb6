package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// certificateCheckInterval bounds how long a replaced certificate file goes unnoticed.
const certificateCheckInterval = 10 * time.Second

// reloadingCertificate serves a key pair from files and reloads it when the certificate file has changed.
type reloadingCertificate struct {
	certFile, keyFile string

	// mu guards the fields below, because concurrent handshakes may notice the same change.
	mu       sync.Mutex
	pair     *tls.Certificate
	modified time.Time
	checked  time.Time
}

// get returns the current key pair. If the changed files cannot be read, the last valid pair stays in use, so that a
// partly written file does not break new connections.
func (c *reloadingCertificate) get(now time.Time) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pair != nil && now.Sub(c.checked) < certificateCheckInterval {
		return c.pair, nil
	}
	c.checked = now
	info, err := os.Stat(c.certFile)
	if err == nil && c.pair != nil && info.ModTime().Equal(c.modified) {
		return c.pair, nil
	}
	pair, loadErr := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if loadErr != nil {
		if c.pair != nil {
			return c.pair, nil
		}
		return nil, fmt.Errorf("load certificate: %w", loadErr)
	}
	c.pair = &pair
	if err == nil {
		c.modified = info.ModTime()
	}
	return c.pair, nil
}

// transportSecurity holds the credentials of connections between relay hosts and of operators.
type transportSecurity struct {
	client, server credentials.TransportCredentials
	// operators is nil for unencrypted connections.
	operators *tls.Config
}

func newTransportSecurity(s Settings) (transportSecurity, error) {
	if s.Plain {
		return transportSecurity{client: insecure.NewCredentials(), server: insecure.NewCredentials()}, nil
	}
	authorities, err := os.ReadFile(s.TLSCA)
	if err != nil {
		return transportSecurity{}, fmt.Errorf("read tls-ca: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorities) {
		return transportSecurity{}, fmt.Errorf("tls-ca %s holds no PEM certificate", s.TLSCA)
	}
	cert := &reloadingCertificate{certFile: s.TLSCertificate, keyFile: s.TLSKey}
	if _, err := cert.get(time.Now()); err != nil {
		return transportSecurity{}, err
	}
	getCertificate := func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return cert.get(time.Now()) }
	client := &tls.Config{
		MinVersion:           tls.VersionTLS13,
		RootCAs:              pool,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return cert.get(time.Now()) },
	}
	// Relay hosts authenticate each other: only a process with a certificate of the same authority may send requests
	// and ledgers.
	server := &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: getCertificate,
		ClientCAs:      pool,
		ClientAuth:     tls.RequireAndVerifyClientCert,
	}
	return transportSecurity{
		client:    credentials.NewTLS(client),
		server:    credentials.NewTLS(server),
		operators: &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: getCertificate},
	}, nil
}
