package transport_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"

	"waxwingtide.example/waxwingtide/security"
	"waxwingtide.example/waxwingtide/transport"
	"waxwingtide.example/waxwingtide/wire"
)

type peer struct {
	wire.DRPCPeerUnimplementedServer
}

func (*peer) Exchange(_ context.Context, d *wire.Digest) (*wire.Delta, error) {
	return &wire.Delta{Sender: d.Sender}, nil
}

// authority signs certificates for tests.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &authority{key, cert}
}

// issue writes a certificate, its key and the authority's certificate.
func (a *authority) issue(t *testing.T, folder string, serial int64) security.TLSFiles {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	files := security.TLSFiles{
		Certificate: filepath.Join(folder, "cert.pem"), Key: filepath.Join(folder, "key.pem"), PeerCA: filepath.Join(folder, "ca.pem"),
	}
	for file, block := range map[string]*pem.Block{
		files.Certificate: {Type: "CERTIFICATE", Bytes: der},
		files.Key:         {Type: "EC PRIVATE KEY", Bytes: keyDER},
		files.PeerCA:      {Type: "CERTIFICATE", Bytes: a.cert.Raw},
	} {
		require.NoError(t, os.WriteFile(file, pem.EncodeToMemory(block), 0o600))
	}
	return files
}

func quiet() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// serve answers the peer service with the TLS files until the test ends.
func serve(t *testing.T, config *tls.Config) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	mux := drpcmux.New()
	require.NoError(t, wire.DRPCRegisterPeer(mux, &peer{}))
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { _ = transport.Serve(ctx, listener, config, mux) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return listener.Addr().String()
}

func exchange(t *testing.T, address string, config *tls.Config) error {
	dialer := transport.NewDialer(nil, config)
	defer func() { _ = dialer.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	reply, err := wire.NewDRPCPeerClient(dialer.Dial(ctx, address)).Exchange(ctx, &wire.Digest{Sender: &wire.Sender{Node: "n"}})
	if err == nil {
		require.Equal(t, "n", reply.GetSender().GetNode())
	}
	return err
}

// Guards against an inner protocol that talks to a process without a
// certificate of the deployment's authority, in either direction.
func TestMutualTLS(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	load := func(a *authority) *security.TLSIdentity {
		m, err := security.LoadTLSIdentity(a.issue(t, t.TempDir(), 2), quiet())
		require.NoError(t, err)
		return m
	}
	a, b, foreign := load(ours), load(ours), load(theirs)
	address := serve(t, a.ServerConfig())
	require.NoError(t, exchange(t, address, b.ClientConfig()))
	require.Error(t, exchange(t, address, foreign.ClientConfig()), "a foreign certificate was accepted")
	require.Error(t, exchange(t, address, nil), "a connection without TLS was accepted")
	require.Error(t, exchange(t, address, &tls.Config{InsecureSkipVerify: true}), "a client without a certificate was accepted")
	require.Error(t, exchange(t, serve(t, foreign.ServerConfig()), b.ClientConfig()), "a foreign server was accepted")
	require.NoError(t, exchange(t, serve(t, nil), nil))
}

// Guards against a replaced certificate that is only used after a restart, and
// against a faulty file that takes the loaded identity away.
func TestReload(t *testing.T) {
	ours := newAuthority(t)
	folder := t.TempDir()
	files := ours.issue(t, folder, 2)
	material, err := security.LoadTLSIdentity(files, quiet())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var group conc.WaitGroup
	group.Go(func() { _ = material.FileWatchDuty()(ctx) })
	defer group.Wait()
	defer cancel()
	serial := func() int64 {
		config, err := material.ServerConfig().GetConfigForClient(nil)
		require.NoError(t, err)
		leaf, err := x509.ParseCertificate(config.Certificates[0].Certificate[0])
		require.NoError(t, err)
		return leaf.SerialNumber.Int64()
	}
	require.Equal(t, int64(2), serial())
	require.Eventually(t, func() bool {
		ours.issue(t, folder, 3)
		return serial() == 3
	}, time.Minute, 20*time.Millisecond)
	require.NoError(t, os.WriteFile(files.Certificate, []byte("no certificate"), 0o600))
	require.Never(t, func() bool { return serial() != 3 }, 200*time.Millisecond, 20*time.Millisecond)
	_, err = security.LoadTLSIdentity(files, quiet())
	require.ErrorContains(t, err, "PEM")
}
