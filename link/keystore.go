package link

import (
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"os"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lilackeel/lilackeel/fault"
)

// reloadFailures counts reloads that kept the older keys in use.
var reloadFailures = metrics.NewCounter("lilackeel_link_key_reload_failures_total")

// keys is one consistent reading of the three files.
type keys struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// fileState tells whether a file changed since it was read.
type fileState struct {
	modified time.Time
	size     int64
}

// keyStore holds the keys in use and reads them again when a file changes. It is
// safe for concurrent use.
type keyStore struct {
	cfg Config

	mu     sync.Mutex
	states [3]fileState
	loaded keys
}

// newKeyStore reads the files for the first time.
func newKeyStore(cfg Config) (*keyStore, error) {
	store := &keyStore{cfg: cfg}
	states, err := store.stat()
	if err != nil {
		return nil, err
	}
	loaded, err := store.read()
	if err != nil {
		return nil, err
	}
	store.states = states
	store.loaded = loaded
	return store, nil
}

// current returns the keys, read again if a file changed. Files that cannot be
// used, as in the middle of a replacement, leave the older keys in use and are
// tried again at the next handshake.
func (s *keyStore) current() keys {
	s.mu.Lock()
	defer s.mu.Unlock()
	states, err := s.stat()
	if err == nil && states == s.states {
		return s.loaded
	}
	var loaded keys
	if err == nil {
		loaded, err = s.read()
	}
	if err != nil {
		reloadFailures.Inc()
		slog.Warn("changed TLS files cannot be used; the older ones stay in use", "error", err)
		return s.loaded
	}
	s.states = states
	s.loaded = loaded
	return loaded
}

// stat is taken before the files are read, so that a change in between is seen
// at the next handshake.
func (s *keyStore) stat() (states [3]fileState, err error) {
	for i, path := range [3]string{s.cfg.Cert, s.cfg.Key, s.cfg.CA} {
		info, err := os.Stat(path)
		if err != nil {
			return states, fault.Newf(fault.Invalid, "check the path and the permissions",
				"TLS file %s cannot be read", path).WithCause(err)
		}
		states[i] = fileState{modified: info.ModTime(), size: info.Size()}
	}
	return states, nil
}

func (s *keyStore) read() (keys, error) {
	certificate, err := tls.LoadX509KeyPair(s.cfg.Cert, s.cfg.Key)
	if err != nil {
		return keys{}, fault.New(fault.Invalid, "-tls-cert and -tls-key cannot be used together",
			"give a PEM certificate and its own PEM key").WithCause(err)
	}
	pem, err := os.ReadFile(s.cfg.CA)
	if err != nil {
		return keys{}, fault.New(fault.Invalid, "-tls-ca cannot be read", "check the path and the permissions").WithCause(err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return keys{}, fault.New(fault.Invalid, "-tls-ca holds no certificate", "give a file of PEM certificates")
	}
	return keys{certificate: certificate, authorities: authorities}, nil
}

// server returns the TLS configuration for one incoming handshake. Session
// tickets are off: a resumed session would skip the check against new keys.
func (s *keyStore) server() *tls.Config {
	now := s.current()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{now.certificate},
		ClientCAs:              now.authorities,
		ClientAuth:             tls.RequireAndVerifyClientCert,
		SessionTicketsDisabled: true,
	}
}

// client returns the TLS configuration for one outgoing handshake.
func (s *keyStore) client() *tls.Config {
	now := s.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{now.certificate},
		RootCAs:      now.authorities,
		ServerName:   s.cfg.ServerName,
	}
}
