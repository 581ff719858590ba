// Package security loads TLS identities and compares secrets.
package security

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"

	"github.com/fsnotify/fsnotify"
	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
)

// HashSecret returns the SHA-256 hash of an API key or a token in hexadecimal.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// BearerHash returns the hash of the key in an Authorization header, and whether the
// header contains a key.
func BearerHash(authorization string) (string, bool) {
	scheme, key, ok := strings.Cut(authorization, " ")
	if !ok || key == "" || !strings.EqualFold(scheme, "Bearer") {
		return "", false
	}
	return HashSecret(key), true
}

// SameHash compares two hashes in constant time.
func SameHash(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}

// TLSFiles contains the paths of the PEM files of a TLS identity.
type TLSFiles struct {
	Certificate string
	Key         string
	// PeerCA is the path of the certificates of the authority for peer certificates.
	// It is empty if peers need no certificate.
	PeerCA string
}

// TLSIdentity is a certificate with its key and the authority for peer certificates.
// FileWatchDuty reloads it when its files change.
type TLSIdentity struct {
	files   TLSFiles
	current atomic.Pointer[loadedFiles]
	log     logrus.FieldLogger
}

// loadedFiles is the content of the files.
type loadedFiles struct {
	certificate tls.Certificate
	peerCAs     *x509.CertPool
}

// LoadTLSIdentity reads the files of a TLS identity.
func LoadTLSIdentity(files TLSFiles, log logrus.FieldLogger) (*TLSIdentity, error) {
	i := &TLSIdentity{files: files, log: log}
	if err := i.reload(); err != nil {
		return nil, err
	}
	return i, nil
}

func (i *TLSIdentity) reload() error {
	certificate, err := tls.LoadX509KeyPair(i.files.Certificate, i.files.Key)
	if err != nil {
		return errs.Wrap(err, errs.Invalid, "set the paths of a certificate and its key in PEM format",
			"TLS files %s and %s cannot be loaded", i.files.Certificate, i.files.Key)
	}
	next := &loadedFiles{certificate: certificate}
	if i.files.PeerCA != "" {
		pem, err := os.ReadFile(i.files.PeerCA)
		if err != nil {
			return errs.Wrap(err, errs.Invalid, "set it to the path of a readable PEM file", "peer_ca %s cannot be read", i.files.PeerCA)
		}
		next.peerCAs = x509.NewCertPool()
		if !next.peerCAs.AppendCertsFromPEM(pem) {
			return errs.New(errs.Invalid, "write at least one PEM certificate to it", "peer_ca %s contains no certificate", i.files.PeerCA)
		}
	}
	i.current.Store(next)
	return nil
}

// FileWatchDuty returns a duty that reloads the files when they change. If new files
// are invalid, it logs the error and the loaded identity remains in use.
func (i *TLSIdentity) FileWatchDuty() duty.Func {
	return func(ctx context.Context) error {
		watcher, err := fsnotify.NewWatcher()
		if err != nil {
			return errs.Wrap(err, errs.Internal, "raise the limit of file watches", "TLS files cannot be watched")
		}
		defer func() { _ = watcher.Close() }()
		// Directories are watched because certificates are usually replaced by a
		// rename, which ends a watch of the file itself.
		for _, file := range []string{i.files.Certificate, i.files.Key, i.files.PeerCA} {
			if file == "" {
				continue
			}
			if err := watcher.Add(filepath.Dir(file)); err != nil {
				return errs.Wrap(err, errs.Invalid, "make the directory readable", "directory of %s cannot be watched", file)
			}
		}
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-watcher.Events:
				i.logReloadResult(i.reload())
			case err := <-watcher.Errors:
				i.log.WithField("event", "tls_watch_failed").WithError(err).Warn("watch of TLS files reported an error")
			}
		}
	}
}

func (i *TLSIdentity) logReloadResult(err error) {
	log := i.log.WithFields(logrus.Fields{"event": "tls_reload", "certificate": i.files.Certificate})
	if err != nil {
		log.WithError(err).Warn("TLS files cannot be loaded; the previous identity remains in use")
		return
	}
	log.Info("TLS files reloaded")
}

// ServerConfig returns the configuration for a listener. If a peer authority is set,
// clients must present a certificate signed by it.
func (i *TLSIdentity) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := i.current.Load()
			config := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{current.certificate},
				NextProtos:   []string{"h2", "http/1.1"},
			}
			if current.peerCAs != nil {
				config.ClientAuth = tls.RequireAndVerifyClientCert
				config.ClientCAs = current.peerCAs
			}
			return config, nil
		},
	}
}

// ClientConfig returns the configuration for a connection to a peer at an IP address.
// The certificate of the peer must be signed by the peer authority. The name in the
// certificate is not compared, because peers are dialled by numeric address and the
// addresses of VMs change.
func (i *TLSIdentity) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &i.current.Load().certificate, nil
		},
		InsecureSkipVerify: true, // VerifyConnection verifies the chain
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyChain(state, i.current.Load().peerCAs)
		},
	}
}

func verifyChain(state tls.ConnectionState, roots *x509.CertPool) error {
	if roots == nil {
		return errs.New(errs.Invalid, "set peer_ca in the settings of the inner listener", "no certificate authority is set to verify peers")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errs.Wrap(err, errs.Unauthenticated, "give the peer a certificate signed by peer_ca", "peer certificate is not trusted")
}
