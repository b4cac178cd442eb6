package daemon

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/bulrushrelay/bulrushrelay/adapter/peergrpc"
	peerv1 "github.com/bulrushrelay/bulrushrelay/api/peer/v1"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ledger"
)

// certificateAuthority signs certificates of hosts in tests.
type certificateAuthority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

func newCertificateAuthority(t *testing.T, dir, name string) *certificateAuthority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	file := filepath.Join(dir, name+".pem")
	writePEM(t, file, "CERTIFICATE", der)
	return &certificateAuthority{cert: cert, key: key, file: file}
}

// issue writes a certificate for 127.0.0.1 and its key to files.
func (a *certificateAuthority) issue(t *testing.T, certFile, keyFile string, serial int64) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "host"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(t, err)
	writePEM(t, certFile, "CERTIFICATE", der)
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	writePEM(t, keyFile, "PRIVATE KEY", raw)
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	require.NoError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

func newTestSecurity(t *testing.T, dir string, a *certificateAuthority, name string) transportSecurity {
	s := validSettings()
	s.Plain = false
	s.TLSCertificate, s.TLSKey, s.TLSCA = filepath.Join(dir, name+".crt"), filepath.Join(dir, name+".key"), a.file
	a.issue(t, s.TLSCertificate, s.TLSKey, 2)
	require.NoError(t, s.Validate())
	security, err := newTransportSecurity(s)
	require.NoError(t, err)
	return security
}

// Guards against relay hosts that accept ledgers and requests from a process without a certificate of their authority.
func TestPeersAuthenticateEachOther(t *testing.T) {
	dir := t.TempDir()
	trusted, untrusted := newCertificateAuthority(t, dir, "ours"), newCertificateAuthority(t, dir, "theirs")
	server := newTestSecurity(t, dir, trusted, "server")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := grpc.NewServer(peergrpc.ServerOptions(server.server)...)
	peerv1.RegisterRequestsServer(g, peergrpc.NewRequestServer(&peerHandler{
		ledgers:   ledger.NewSet(ledger.New(ident.Instance{Host: "b"}, ledger.Limits{})),
		limits:    ledger.Limits{Retention: time.Hour, Records: 10, Bytes: 1 << 20},
		onAdopted: func(ident.Instance) {},
	}))
	go func() { _ = g.Serve(listener) }()
	t.Cleanup(g.Stop)

	transfer := func(creds credentials.TransportCredentials, incarnation ident.Incarnation) error {
		pool := peergrpc.NewPool(creds)
		defer pool.Close()
		issuer := ident.Instance{Host: "a", Incarnation: incarnation}
		return peergrpc.NewRequestClient(pool).TransferLedger(t.Context(), listener.Addr().String(), issuer, time.Hour, nil)
	}
	require.NoError(t, transfer(newTestSecurity(t, dir, trusted, "client").client, 1))
	require.Error(t, transfer(newTestSecurity(t, dir, untrusted, "stranger").client, 2))
	require.Error(t, transfer(insecure.NewCredentials(), 3))
}

// Guards against a replaced certificate that takes effect only after a restart, and against a partly written file
// that breaks connections.
func TestChangedCertificateIsReloaded(t *testing.T) {
	dir := t.TempDir()
	a := newCertificateAuthority(t, dir, "ours")
	c := &reloadingCertificate{certFile: filepath.Join(dir, "c.crt"), keyFile: filepath.Join(dir, "c.key")}
	a.issue(t, c.certFile, c.keyFile, 10)
	now := time.Now()
	serial := func() int64 {
		pair, err := c.get(now)
		require.NoError(t, err)
		leaf, err := x509.ParseCertificate(pair.Certificate[0])
		require.NoError(t, err)
		return leaf.SerialNumber.Int64()
	}
	require.EqualValues(t, 10, serial())

	a.issue(t, c.certFile, c.keyFile, 11)
	require.NoError(t, os.Chtimes(c.certFile, now, now.Add(time.Minute)))
	require.EqualValues(t, 10, serial(), "the files are checked once in each interval")
	now = now.Add(certificateCheckInterval)
	require.EqualValues(t, 11, serial())

	require.NoError(t, os.WriteFile(c.certFile, []byte("-----BEGIN CERT"), 0o600))
	require.NoError(t, os.Chtimes(c.certFile, now, now.Add(2*time.Minute)))
	now = now.Add(certificateCheckInterval)
	require.EqualValues(t, 11, serial(), "the last valid pair stays in use")
}
