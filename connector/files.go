package connector

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"apricotwinch"
)

// Files names the PEM files of a TLS identity.
type Files struct {
	// Certificate is the path of the certificate chain.
	Certificate string `json:"certificate"`
	// Key is the path of the private key.
	Key string `json:"key"`
	// Authority is the path of the certificates that peers are checked against.
	Authority string `json:"authority,omitempty"`
}

// Load returns the TLS settings of a server and of a client. With an authority
// the server demands a client certificate of it; the client expects a server
// whose certificate bears the first name of its own. It fails with kind Invalid,
// naming the field.
func (f Files) Load() (server, client *tls.Config, err error) {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, nil, apricotwinch.Errorf(apricotwinch.Invalid, "tls.certificate, tls.key: %w", err)
	}
	server = &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13}
	client = &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13, ServerName: commonName(certificate)}
	if f.Authority == "" {
		return server, client, nil
	}
	pem, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, nil, apricotwinch.Errorf(apricotwinch.Invalid, "tls.authority: %w", err)
	}
	pool := x509.NewCertPool()
	if client.ServerName == "" {
		return nil, nil, apricotwinch.Errorf(apricotwinch.Invalid, "tls.certificate: %s bears no DNS name, by which peers know each other", f.Certificate)
	}
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, apricotwinch.Errorf(apricotwinch.Invalid, "tls.authority: %s holds no certificate", f.Authority)
	}
	server.ClientCAs = pool
	server.ClientAuth = tls.RequireAndVerifyClientCert
	client.RootCAs = pool
	return server, client, nil
}

// commonName returns the first name in a certificate; the certificates of all
// processes share it.
func commonName(certificate tls.Certificate) string {
	if certificate.Leaf == nil || len(certificate.Leaf.DNSNames) == 0 {
		return ""
	}
	return certificate.Leaf.DNSNames[0]
}
