// Package operator is a client of the operators' API of a node.
package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"peridotpier.example/cmd/internal/exit"
	"peridotpier.example/node/answerhead"
	"peridotpier.example/node/operatorapi"
)

// Environment variables that give the defaults of flags.
const (
	EnvNode = "PIERCTL_NODE"
	EnvKey  = "PIERCTL_KEY"
)

// callTimeout bounds one call, from its connection to the end of its answer.
const callTimeout = 30 * time.Second

// Flags are the command-line flags that select the node and the operator's credentials.
type Flags struct {
	Node        string
	KeyFile     string
	CAFile      string
	CertFile    string
	CertKeyFile string
	JSON        bool
}

// Set registers the flags in fs.
func (f *Flags) Set(fs *flag.FlagSet) {
	fs.StringVar(&f.Node, "node", os.Getenv(EnvNode), "operators' `URL` of any entry host, http(s)://IP:port; default $"+EnvNode)
	fs.StringVar(&f.KeyFile, "key-file", "", "`file` with the operator's key; default $"+EnvKey)
	fs.StringVar(&f.CAFile, "authorities", "", "PEM `file` of who may sign the node's certificate")
	fs.StringVar(&f.CertFile, "certificate", "", "PEM `file` of the operator's own certificate")
	fs.StringVar(&f.CertKeyFile, "certificate-key", "", "PEM `file` of its key")
	fs.BoolVar(&f.JSON, "json", false, "print JSON")
}

// Client calls the operators' API of one node.
type Client struct {
	base string
	key  string
	http *http.Client
}

// NewClient returns a client for the node that the flags select. A missing key, and a
// missing or malformed URL, are exit.Errors with the code exit.Usage.
func (f *Flags) NewClient() (*Client, error) {
	if f.Node == "" {
		return nil, &exit.Error{Code: exit.Usage, Err: errors.New("no node given"), Hint: "pass --node http://IP:port or set " + EnvNode}
	}
	u, err := url.Parse(f.Node)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, &exit.Error{Code: exit.Usage, Err: fmt.Errorf("%q is not http(s)://IP:port", f.Node)}
	}
	key := os.Getenv(EnvKey)
	if f.KeyFile != "" {
		data, err := os.ReadFile(f.KeyFile)
		if err != nil {
			return nil, err
		}
		key = strings.TrimSpace(string(data))
	}
	if key == "" {
		return nil, &exit.Error{Code: exit.Usage, Err: errors.New("no operator's key given"), Hint: "pass --key-file FILE or set " + EnvKey}
	}
	conf, err := f.tlsConfig()
	if err != nil {
		return nil, err
	}
	return &Client{base: strings.TrimSuffix(f.Node, "/"), key: key,
		http: &http.Client{Timeout: callTimeout, Transport: &http.Transport{TLSClientConfig: conf}}}, nil
}

// tlsConfig returns nil, which means Go's defaults, if neither authorities nor a
// certificate are given. Without authorities those of the system apply.
func (f *Flags) tlsConfig() (*tls.Config, error) {
	if f.CAFile == "" && f.CertFile == "" {
		return nil, nil
	}
	c := &tls.Config{MinVersion: tls.VersionTLS13}
	if f.CAFile != "" {
		pem, err := os.ReadFile(f.CAFile)
		if err != nil {
			return nil, err
		}
		c.RootCAs = x509.NewCertPool()
		if !c.RootCAs.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("%s holds no certificate", f.CAFile)
		}
	}
	if f.CertFile != "" {
		own, err := tls.LoadX509KeyPair(f.CertFile, f.CertKeyFile)
		if err != nil {
			return nil, err
		}
		c.Certificates = []tls.Certificate{own}
	}
	return c, nil
}

// Call makes one call and decodes the JSON of its answer into out, unless out is nil or the
// answer is empty. A call that is refused or gets no answer is an exit.Error with the exit
// code for its cause.
func (c *Client) Call(ctx context.Context, method, path string, query url.Values, body []byte, out any) error {
	target := c.base + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := c.http.Do(req)
	if err != nil {
		return c.connectionError(method, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := answerhead.CheckParsed(resp); err != nil {
		return c.connectionError(method, err)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return c.connectionError(method, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return responseError(resp.StatusCode, data)
	}
	if out == nil || len(data) == 0 {
		return nil
	}
	return json.Unmarshal(data, out)
}

// connectionError returns the error of a call without a complete answer. A read can be
// repeated; a change may have taken effect, unless no connection was made.
func (c *Client) connectionError(method string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &exit.Error{Code: exit.Failed, Err: err, Hint: "nothing was asked for; try another entry host with --node"}
	}
	if method == http.MethodGet {
		return &exit.Error{Code: exit.Failed, Err: err, Hint: "try another entry host with --node"}
	}
	return &exit.Error{Code: exit.Unconfirmed, Err: err, Hint: "it may or may not have taken effect: look with pierctl status through another entry host before trying again"}
}

// responseError returns the error that a response with an error status describes, with the
// exit code for it.
func responseError(status int, data []byte) error {
	var p operatorapi.Problem
	if json.Unmarshal(data, &p) != nil || p.Message == "" {
		p = operatorapi.Problem{Message: fmt.Sprintf("status %d: %s", status, data)}
	}
	lines := []string{p.Message}
	for _, f := range p.Faults {
		lines = append(lines, "  "+f.String())
	}
	e := &exit.Error{Code: exit.Failed, Err: errors.New(strings.Join(lines, "\n"))}
	switch {
	case p.Outcome == "unknown":
		e.Code = exit.Unconfirmed
	case status == http.StatusConflict:
		e.Code = exit.Conflict
	case status == http.StatusNotFound:
		e.Code = exit.NotFound
	}
	return e
}
