package connector

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"apricotwinch"
)

// Files holds the paths of the PEM files of a TLS identity.
type Files struct {
	// Certificate is the path of the certificate chain.
	Certificate string `json:"certificate"`
	// Key is the path of the private key.
	Key string `json:"key"`
	// Authority is the path of the CA certificates that peer certificates are verified against;
	// empty for none.
	Authority string `json:"authority,omitempty"`
}

// Load returns the TLS configurations of a server and of a client. The client expects the server's
// certificate to be valid for the first DNS name in its own certificate. With an authority, the
// server requires a client certificate that the authority issued, and the client accepts only
// servers whose certificate it issued. Load fails with kind Invalid and names the field.
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
		return nil, nil, apricotwinch.Errorf(apricotwinch.Invalid, "tls.certificate: %s contains no DNS name to verify peers by", f.Certificate)
	}
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, apricotwinch.Errorf(apricotwinch.Invalid, "tls.authority: %s contains no certificate", f.Authority)
	}
	server.ClientCAs = pool
	server.ClientAuth = tls.RequireAndVerifyClientCert
	client.RootCAs = pool
	return server, client, nil
}

// commonName returns the first DNS name in a certificate, which the certificates of all processes
// share; empty for none.
func commonName(certificate tls.Certificate) string {
	if certificate.Leaf == nil || len(certificate.Leaf.DNSNames) == 0 {
		return ""
	}
	return certificate.Leaf.DNSNames[0]
}
