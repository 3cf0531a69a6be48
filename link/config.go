package link

import (
	"net"

	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/setting"
)

// Config configures how a process authenticates itself to its peers and verifies
// them. Either all three files are set, or none.
type Config struct {
	// Cert is the PEM file with the certificate chain of this process.
	Cert string
	// Key is the PEM file with the private key of the certificate.
	Key string
	// CA is the PEM file with the authorities that must have issued the
	// certificates of peers.
	CA string
	// ServerName is the name that every server certificate must contain. If empty,
	// it must contain the host name or IP address that was dialled.
	ServerName string
	// Insecure allows connections without TLS to and from other addresses than
	// loopback.
	Insecure bool
}

// Settings registers the settings for the fields of cfg.
func Settings(s *setting.Set, cfg *Config) {
	s.String(&cfg.Cert, "tls-cert", "", "PEM file with the certificate chain of this process")
	s.String(&cfg.Key, "tls-key", "", "PEM file with the private key of -tls-cert")
	s.String(&cfg.CA, "tls-ca", "", "PEM file with the authorities that peers' certificates must come from")
	s.String(&cfg.ServerName, "tls-server-name", "", "name in every peer's certificate; empty means the address that was dialled")
	s.Bool(&cfg.Insecure, "insecure", false, "allow connections without TLS beyond the loopback addresses")
	s.Check(func() error { return cfg.check() })
}

// TLSEnabled reports whether all TLS files are set.
func (cfg Config) TLSEnabled() bool { return cfg.Cert != "" && cfg.Key != "" && cfg.CA != "" }

// check returns an error for contradictory settings and unusable files.
func (cfg Config) check() error {
	anyFile := cfg.Cert != "" || cfg.Key != "" || cfg.CA != ""
	switch {
	case anyFile && !cfg.TLSEnabled():
		return fault.New(fault.Invalid, "only some of -tls-cert, -tls-key and -tls-ca are set", "set all three, or none")
	case anyFile && cfg.Insecure:
		return fault.New(fault.Invalid, "-insecure contradicts -tls-cert", "remove one of them")
	case !anyFile && cfg.ServerName != "":
		return fault.New(fault.Invalid, "-tls-server-name is set without TLS", "set -tls-cert, -tls-key and -tls-ca, or remove it")
	case anyFile:
		_, err := newKeyStore(cfg)
		return err
	}
	return nil
}

// CheckListen returns an error if a listener on the address would accept
// connections without TLS from other hosts. Daemons call it when they check their
// settings.
func (cfg Config) CheckListen(address string) error {
	if cfg.TLSEnabled() || cfg.Insecure {
		return nil
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return fault.Newf(fault.Invalid, "write host:port", "malformed address %q", address)
	}
	if host == "localhost" || net.ParseIP(host).IsLoopback() {
		return nil
	}
	return fault.Newf(fault.Invalid,
		"set -tls-cert, -tls-key and -tls-ca, listen on a loopback address, or set -insecure",
		"a listener on %s would accept connections without TLS from other hosts", address)
}
