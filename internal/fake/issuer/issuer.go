// Package issuer creates certificate authorities and certificates for loopback addresses, for
// tests of mutual TLS.
package issuer

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
	"time"

	"github.com/zeebo/errs"

	"chervilgauge.example/chervilgauge/internal/setup/config"
)

// Err is the class of errors when certificates can't be created or written.
var Err = errs.Class("issuer")

// validity is how long certificates are valid before and after the time of issue.
const validity = time.Hour

// Authority signs certificates and writes them to a directory.
type Authority struct {
	dir    string
	key    *ecdsa.PrivateKey
	cert   *x509.Certificate
	serial int64
}

// New returns an authority and writes its certificate to dir, which must exist. Its errors are of
// class Err.
func New(dir string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, Err.Wrap(err)
	}
	a := &Authority{dir: dir, key: key, serial: 1}
	template := a.template("authority")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, Err.Wrap(err)
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		return nil, Err.Wrap(err)
	}
	return a, write(a.path("authority.pem"), "CERTIFICATE", der)
}

// Issue writes a certificate for 127.0.0.1, for servers and clients, and its key. A second call
// with the same name replaces both. Its errors are of class Err.
func (a *Authority) Issue(name string) (config.Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return config.Files{}, Err.Wrap(err)
	}
	der, err := x509.CreateCertificate(rand.Reader, a.template(name), a.cert, &key.PublicKey, a.key)
	if err != nil {
		return config.Files{}, Err.Wrap(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return config.Files{}, Err.Wrap(err)
	}
	f := config.Files{Cert: a.path(name + ".pem"), Key: a.path(name + ".key"), Authority: a.path("authority.pem")}
	return f, errs.Combine(write(f.Cert, "CERTIFICATE", der), write(f.Key, "PRIVATE KEY", keyDER))
}

func (a *Authority) path(file string) string { return filepath.Join(a.dir, file) }

// template returns an unsigned certificate with the next serial number.
func (a *Authority) template(name string) *x509.Certificate {
	a.serial++
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(a.serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-validity),
		NotAfter:     now.Add(validity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
}

// keyFileMode keeps keys unreadable for other users.
const keyFileMode = 0o600

func write(path, kind string, der []byte) error {
	return Err.Wrap(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), keyFileMode))
}
