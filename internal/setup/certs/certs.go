// Package certs builds the TLS settings of the operators' and peers' listeners from
// files, which are read again when they change.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"chervilgauge.example/chervilgauge/internal/setup/config"
)

// Err is the class of failures to read certificates, keys and authorities.
var Err = errs.Class("certificates")

// Source reads the files of one listener.
type Source struct {
	files config.Files

	mu    sync.Mutex
	stamp [3]time.Time
	cert  *tls.Certificate
	roots *x509.CertPool
}

// Open reads the files. It returns an Err.
func Open(files config.Files) (*Source, error) {
	s := &Source{files: files}
	_, _, err := s.load()
	return s, err
}

// Server returns settings for a listener that requires a certificate of the authority.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, roots, err := s.load()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    roots,
				NextProtos:   []string{"h2"},
			}, nil
		},
	}
}

// Client returns settings for a connection to a server with a certificate of the
// authority. It returns an Err.
func (s *Source) Client() (*tls.Config, error) {
	cert, roots, err := s.load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*cert},
		RootCAs:      roots,
	}, nil
}

// load returns the current certificate and authority. A set of files that can't be
// read leaves the previous set in use.
func (s *Source) load() (*tls.Certificate, *x509.CertPool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stamp, err := s.stamps()
	if err == nil && (stamp != s.stamp || s.cert == nil) {
		err = s.read(stamp)
	}
	if s.cert == nil {
		return nil, nil, Err.Wrap(err)
	}
	return s.cert, s.roots, nil
}

func (s *Source) stamps() ([3]time.Time, error) {
	var out [3]time.Time
	for i, path := range []string{s.files.Cert, s.files.Key, s.files.Authority} {
		info, err := os.Stat(path)
		if err != nil {
			return out, err
		}
		out[i] = info.ModTime()
	}
	return out, nil
}

func (s *Source) read(stamp [3]time.Time) error {
	cert, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
	if err != nil {
		return err
	}
	pem, err := os.ReadFile(s.files.Authority)
	if err != nil {
		return err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return Err.New("%s holds no certificate", s.files.Authority)
	}
	s.stamp, s.cert, s.roots = stamp, &cert, roots
	return nil
}
