// Package certifier simulates the platform's certificate authority for tests: it writes
// certificates that are valid for a day to files.
package certifier

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

	"apricotwinch/connector"
)

// validity is how long a certificate is valid. It starts an hour before the certificate is issued.
const validity = 25 * time.Hour

const serialBits = 64

// authorityName is the name of the authority's own files.
const authorityName = "authority"

// Authority signs certificates and writes them to files in one directory.
type Authority struct {
	directory   string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// New returns an authority that writes its files to directory.
func New(directory string) (*Authority, error) {
	a := &Authority{directory: directory}
	template := &x509.Certificate{IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	certificate, key, err := a.write(authorityName, template)
	a.certificate, a.key = certificate, key
	return a, err
}

// Issue writes a certificate and its key, valid for the loopback address and dnsNames. It returns
// the paths of both, and of the authority's certificate.
func (a *Authority) Issue(name string, dnsNames ...string) (connector.Files, error) {
	template := &x509.Certificate{
		DNSNames:    dnsNames,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	_, _, err := a.write(name, template)
	return connector.Files{Certificate: a.path(name, ".pem"), Key: a.path(name, ".key"), Authority: a.path(authorityName, ".pem")}, err
}

func (a *Authority) path(name, extension string) string {
	return filepath.Join(a.directory, name+extension)
}

// write signs template with the authority's key, or with a new key of its own for the authority's
// certificate. It writes the certificate and its key to files.
func (a *Authority) write(name string, template *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	if template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits)); err != nil {
		return nil, nil, err
	}
	template.Subject = pkix.Name{CommonName: name}
	template.NotBefore = time.Now().Add(-time.Hour)
	template.NotAfter = template.NotBefore.Add(validity)
	parent, signer := template, key
	if a.key != nil {
		parent, signer = a.certificate, a.key
	}
	data, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return nil, nil, err
	}
	keyData, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, nil, err
	}
	if err := writePEM(a.path(name, ".pem"), "CERTIFICATE", data); err != nil {
		return nil, nil, err
	}
	if err := writePEM(a.path(name, ".key"), "PRIVATE KEY", keyData); err != nil {
		return nil, nil, err
	}
	certificate, err := x509.ParseCertificate(data)
	return certificate, key, err
}

func writePEM(path, block string, data []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: block, Bytes: data}), 0o600)
}
