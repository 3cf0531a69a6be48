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

// reloadFailures counts failed reloads, after which the previous keys remain in use.
var reloadFailures = metrics.NewCounter("lilackeel_link_key_reload_failures_total")

// keys is the content of the three files, read together.
type keys struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// fileVersion identifies a version of a file, to detect whether the file has
// changed since it was read.
type fileVersion struct {
	modified time.Time
	size     int64
}

// keyStore holds the current keys and reloads them when a file changes. It is safe
// for concurrent use.
type keyStore struct {
	cfg Config

	mu          sync.Mutex
	versions    [3]fileVersion
	currentKeys keys
}

// newKeyStore returns a store with the keys read from the files.
func newKeyStore(cfg Config) (*keyStore, error) {
	store := &keyStore{cfg: cfg}
	versions, err := store.statFiles()
	if err != nil {
		return nil, err
	}
	loaded, err := store.readFiles()
	if err != nil {
		return nil, err
	}
	store.versions = versions
	store.currentKeys = loaded
	return store, nil
}

// current returns the keys and reloads them first if a file has changed. If the
// files cannot be used, for instance because they are being replaced, the previous
// keys remain in use and the next handshake retries.
func (s *keyStore) current() keys {
	s.mu.Lock()
	defer s.mu.Unlock()
	versions, err := s.statFiles()
	if err == nil && versions == s.versions {
		return s.currentKeys
	}
	var loaded keys
	if err == nil {
		loaded, err = s.readFiles()
	}
	if err != nil {
		reloadFailures.Inc()
		slog.Warn("cannot reload the changed TLS files; the previous keys remain in use", "error", err)
		return s.currentKeys
	}
	s.versions = versions
	s.currentKeys = loaded
	return loaded
}

// statFiles returns the versions of the files. It must be called before the files
// are read, so that a change in between is detected at the next handshake.
func (s *keyStore) statFiles() (versions [3]fileVersion, err error) {
	for i, path := range [3]string{s.cfg.Cert, s.cfg.Key, s.cfg.CA} {
		info, err := os.Stat(path)
		if err != nil {
			return versions, fault.Newf(fault.Invalid, "check the path and the permissions",
				"TLS file %s cannot be read", path).WithCause(err)
		}
		versions[i] = fileVersion{modified: info.ModTime(), size: info.Size()}
	}
	return versions, nil
}

func (s *keyStore) readFiles() (keys, error) {
	certificate, err := tls.LoadX509KeyPair(s.cfg.Cert, s.cfg.Key)
	if err != nil {
		return keys{}, fault.New(fault.Invalid, "-tls-cert and -tls-key are not a usable key pair",
			"set a PEM certificate chain and the matching PEM key").WithCause(err)
	}
	pem, err := os.ReadFile(s.cfg.CA)
	if err != nil {
		return keys{}, fault.New(fault.Invalid, "-tls-ca cannot be read", "check the path and the permissions").WithCause(err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return keys{}, fault.New(fault.Invalid, "-tls-ca contains no certificate", "set a file with PEM certificates")
	}
	return keys{certificate: certificate, authorities: authorities}, nil
}

// serverConfig returns the TLS configuration for one incoming handshake. Session
// tickets are disabled: a resumed session would not be verified against new
// authorities.
func (s *keyStore) serverConfig() *tls.Config {
	loaded := s.current()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{loaded.certificate},
		ClientCAs:              loaded.authorities,
		ClientAuth:             tls.RequireAndVerifyClientCert,
		SessionTicketsDisabled: true,
	}
}

// clientConfig returns the TLS configuration for one outgoing handshake.
func (s *keyStore) clientConfig() *tls.Config {
	loaded := s.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{loaded.certificate},
		RootCAs:      loaded.authorities,
		ServerName:   s.cfg.ServerName,
	}
}
