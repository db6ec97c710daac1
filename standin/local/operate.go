package local

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"peridotpier.example/node/operatorapi"
	"peridotpier.example/standin/pki"
)

// OperatorAddresses returns the addresses of the operators' listeners of the running
// hosts.
func (r *RunningSite) OperatorAddresses() []string {
	return r.addresses(func(n *Node) string { return n.OperatorAddress() })
}

// OperatorURL returns the operators' URL of the last running host, which stays longest
// when hosts are stopped in order.
func (r *RunningSite) OperatorURL() string {
	all := r.OperatorAddresses()
	scheme := "http://"
	if r.Authority != nil {
		scheme = "https://"
	}
	return scheme + all[len(all)-1]
}

// switchPreset puts the preset that follows the current one in force, by the operators'
// API.
func (r *RunningSite) switchPreset(ctx context.Context) error {
	client, err := r.operatorClient()
	if err != nil {
		return err
	}
	defer client.CloseIdleConnections()
	base := r.OperatorURL()
	var p operatorapi.Presets
	if err := callOperatorAPI(ctx, client, http.MethodGet, base+"/v1/presets", &p); err != nil {
		return err
	}
	next := p.InForce
	for i, x := range p.Presets {
		if x.Name == p.InForce {
			next = p.Presets[(i+1)%len(p.Presets)].Name
		}
	}
	var a operatorapi.Applied
	if err := callOperatorAPI(ctx, client, http.MethodPost, base+"/v1/presets/"+next, &a); err != nil {
		return err
	}
	r.mu.Lock()
	r.appliedPresets = append(r.appliedPresets, a.Head.Preset)
	r.mu.Unlock()
	return nil
}

// operatorClient returns an HTTP client for the operators' API, with an operator's
// certificate if the site runs with TLS.
func (r *RunningSite) operatorClient() (*http.Client, error) {
	if r.Authority == nil {
		return &http.Client{Transport: &http.Transport{}}, nil
	}
	certificate, key, err := r.Authority.Issue("operator", pki.WithIPAddress("127.0.0.1"))
	if err != nil {
		return nil, err
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, eris.Wrap(err, "operator's certificate")
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: r.Authority.CertPool(),
		Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13}}}, nil
}

func callOperatorAPI(ctx context.Context, client *http.Client, method, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return eris.Wrap(err, "call a host as an operator")
	}
	req.Header.Set("Authorization", "Bearer "+OperatorKey)
	resp, err := client.Do(req)
	if err != nil {
		return eris.Wrap(err, "call a host as an operator")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return eris.Wrap(err, "call a host as an operator")
	}
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("%s %s: %s: %s", method, req.URL.Path, resp.Status, data)
	}
	return eris.Wrap(json.Unmarshal(data, out), "read a host's answer")
}
