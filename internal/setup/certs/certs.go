// Package certs builds the TLS configuration of the listeners for operators and peers, and of
// their clients, from PEM files. It reads the files again when they change.
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

// Err is the class of failures to read certificates, keys and authority files.
var Err = errs.Class("certificates")

// Source reads and caches the files of one listener or client.
type Source struct {
	files config.Files

	mu       sync.Mutex
	modTimes [3]time.Time // of the files that were read last
	cert     *tls.Certificate
	roots    *x509.CertPool
}

// Open reads the files and returns a Source for them. It returns an Err.
func Open(files config.Files) (*Source, error) {
	s := &Source{files: files}
	_, _, err := s.load()
	return s, err
}

// Server returns the configuration of a listener, which requires that clients have a
// certificate of the authority. Each new connection uses the current files.
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

// Client returns the configuration of a client, which requires that the server has a
// certificate of the authority. It returns an Err.
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

// load returns the current certificate and authority, and reads the files again if they have
// changed. If they can't be read, the previous ones stay in use. It returns an Err only if
// there are none.
func (s *Source) load() (*tls.Certificate, *x509.CertPool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	modTimes, err := s.statFiles()
	if err == nil && (modTimes != s.modTimes || s.cert == nil) {
		err = s.readFiles(modTimes)
	}
	if s.cert == nil {
		return nil, nil, Err.Wrap(err)
	}
	return s.cert, s.roots, nil
}

// statFiles returns the modification times of the files.
func (s *Source) statFiles() ([3]time.Time, error) {
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

// readFiles reads the files and stores them with their modification times.
func (s *Source) readFiles(modTimes [3]time.Time) error {
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
	s.modTimes, s.cert, s.roots = modTimes, &cert, roots
	return nil
}
