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

type peerServer struct {
	wire.DRPCPeerUnimplementedServer
}

func (*peerServer) Exchange(_ context.Context, digest *wire.Digest) (*wire.Delta, error) {
	return &wire.Delta{Sender: digest.Sender}, nil
}

// certificateAuthority signs the certificates of the tests.
type certificateAuthority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newCertificateAuthority(t *testing.T) *certificateAuthority {
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
	return &certificateAuthority{key, cert}
}

// issueCertificate writes a new certificate, its key and the certificate of the
// authority to files in the folder.
func (a *certificateAuthority) issueCertificate(t *testing.T, folder string, serial int64) security.TLSFiles {
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

func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// startServer serves the Peer service on a free port until the test ends. It returns
// the address. If config is nil, the server uses no TLS.
func startServer(t *testing.T, config *tls.Config) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	mux := drpcmux.New()
	require.NoError(t, wire.DRPCRegisterPeer(mux, &peerServer{}))
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { _ = transport.Serve(ctx, listener, config, mux) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return listener.Addr().String()
}

func requestExchange(t *testing.T, address string, config *tls.Config) error {
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

// Guards against a client or a server that exchanges messages with a process whose
// certificate is missing or was not signed by the authority of the deployment.
func TestMutualTLS(t *testing.T) {
	deploymentCA, foreignCA := newCertificateAuthority(t), newCertificateAuthority(t)
	loadIdentity := func(ca *certificateAuthority) *security.TLSIdentity {
		identity, err := security.LoadTLSIdentity(ca.issueCertificate(t, t.TempDir(), 2), discardLogger())
		require.NoError(t, err)
		return identity
	}
	serverIdentity, clientIdentity, foreignIdentity := loadIdentity(deploymentCA), loadIdentity(deploymentCA), loadIdentity(foreignCA)
	address := startServer(t, serverIdentity.ServerConfig())
	require.NoError(t, requestExchange(t, address, clientIdentity.ClientConfig()))
	require.Error(t, requestExchange(t, address, foreignIdentity.ClientConfig()), "server accepted a client certificate of a foreign authority")
	require.Error(t, requestExchange(t, address, nil), "server accepted a connection without TLS")
	require.Error(t, requestExchange(t, address, &tls.Config{InsecureSkipVerify: true}), "server accepted a client without a certificate")
	require.Error(t, requestExchange(t, startServer(t, foreignIdentity.ServerConfig()), clientIdentity.ClientConfig()), "client accepted a server certificate of a foreign authority")
	require.NoError(t, requestExchange(t, startServer(t, nil), nil))
}

// Guards against a replaced certificate that is not used until a restart, and against
// a malformed certificate file that replaces the loaded identity.
func TestCertificateReload(t *testing.T) {
	ca := newCertificateAuthority(t)
	folder := t.TempDir()
	files := ca.issueCertificate(t, folder, 2)
	identity, err := security.LoadTLSIdentity(files, discardLogger())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var group conc.WaitGroup
	group.Go(func() { _ = identity.FileWatchDuty()(ctx) })
	defer group.Wait()
	defer cancel()
	serial := func() int64 {
		config, err := identity.ServerConfig().GetConfigForClient(nil)
		require.NoError(t, err)
		leaf, err := x509.ParseCertificate(config.Certificates[0].Certificate[0])
		require.NoError(t, err)
		return leaf.SerialNumber.Int64()
	}
	require.Equal(t, int64(2), serial())
	require.Eventually(t, func() bool {
		ca.issueCertificate(t, folder, 3)
		return serial() == 3
	}, time.Minute, 20*time.Millisecond)
	require.NoError(t, os.WriteFile(files.Certificate, []byte("no certificate"), 0o600))
	require.Never(t, func() bool { return serial() != 3 }, 200*time.Millisecond, 20*time.Millisecond)
	_, err = security.LoadTLSIdentity(files, discardLogger())
	require.ErrorContains(t, err, "PEM")
}
