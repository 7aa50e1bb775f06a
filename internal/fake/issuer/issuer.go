// Package issuer makes certificate authorities and certificates for loopback, for
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

// Err is the class of failures to make or write certificates.
var Err = errs.Class("issuer")

// validity is how long certificates are valid before and after they are made.
const validity = time.Hour

// Authority signs certificates and writes them to a directory.
type Authority struct {
	dir    string
	key    *ecdsa.PrivateKey
	cert   *x509.Certificate
	serial int64
}

// New returns an authority and writes its certificate to dir, which must exist. It
// returns an Err.
func New(dir string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, Err.Wrap(err)
	}
	a := &Authority{dir: dir, key: key, serial: 1}
	form := a.form("authority")
	form.IsCA = true
	form.BasicConstraintsValid = true
	form.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, form, form, &key.PublicKey, key)
	if err != nil {
		return nil, Err.Wrap(err)
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		return nil, Err.Wrap(err)
	}
	return a, write(a.path("authority.pem"), "CERTIFICATE", der)
}

// Issue writes a certificate for 127.0.0.1, for servers and clients, and its key. A
// second call with the same name replaces both. It returns an Err.
func (a *Authority) Issue(name string) (config.Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return config.Files{}, Err.Wrap(err)
	}
	der, err := x509.CreateCertificate(rand.Reader, a.form(name), a.cert, &key.PublicKey, a.key)
	if err != nil {
		return config.Files{}, Err.Wrap(err)
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return config.Files{}, Err.Wrap(err)
	}
	f := config.Files{Cert: a.path(name + ".pem"), Key: a.path(name + ".key"), Authority: a.path("authority.pem")}
	return f, errs.Combine(write(f.Cert, "CERTIFICATE", der), write(f.Key, "PRIVATE KEY", secret))
}

func (a *Authority) path(file string) string { return filepath.Join(a.dir, file) }

// form returns an unsigned certificate with the next serial number.
func (a *Authority) form(name string) *x509.Certificate {
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

// secretMode keeps keys from other users of the machine.
const secretMode = 0o600

func write(path, kind string, der []byte) error {
	return Err.Wrap(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), secretMode))
}
