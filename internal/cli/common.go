package cli

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"flag"
	"net/http"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/juju/errors"
	"sigs.k8s.io/yaml"
)

const (
	defaultAddress = "127.0.0.1:7410"
	defaultTimeout = 10 * time.Second
)

// common has the flags that all sub-commands share.
type common struct {
	env       *Env
	addresses string
	tokenFile string
	token     string
	operator  string
	tlsCA     string
	output    string
	timeout   time.Duration
}

func (c *common) register(f *flag.FlagSet, outputs string) {
	if f.Output() == os.Stderr { // Help sets its own output.
		f.SetOutput(c.env.Stderr)
	}
	f.StringVar(&c.addresses, "address", c.fromEnv("RATTANTIDE_ADDRESS", defaultAddress),
		"comma-separated `addresses` of daemons, tried in order (RATTANTIDE_ADDRESS)")
	f.StringVar(&c.tokenFile, "operator-token-file", c.env.Getenv("RATTANTIDE_OPERATOR_TOKEN_FILE"),
		"`file` with the operator token (RATTANTIDE_OPERATOR_TOKEN_FILE, or the token itself in RATTANTIDE_OPERATOR_TOKEN)")
	f.StringVar(&c.operator, "operator", c.fromEnv("RATTANTIDE_OPERATOR", userName()),
		"`name` that the change log shows (RATTANTIDE_OPERATOR)")
	f.StringVar(&c.tlsCA, "tls-ca", c.env.Getenv("RATTANTIDE_TLS_CA"),
		"PEM `file` with the authorities of the daemons' certificates; implies https (RATTANTIDE_TLS_CA)")
	f.DurationVar(&c.timeout, "timeout", defaultTimeout, "longest wait for one answer")
	if outputs != "" {
		f.StringVar(&c.output, "o", strings.Split(outputs, "|")[0], "output: `"+outputs+"`")
	}
	c.token = c.env.Getenv("RATTANTIDE_OPERATOR_TOKEN")
}

func (c *common) fromEnv(name, fallback string) string {
	if value := c.env.Getenv(name); value != "" {
		return value
	}
	return fallback
}

func userName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

// checkOutput refuses an output that the sub-command does not have.
func (c *common) checkOutput(allowed ...string) error {
	for _, output := range allowed {
		if c.output == output {
			return nil
		}
	}
	return usagef("-o must be %s, got %q", strings.Join(allowed, ", "), c.output)
}

// client returns a client for the flags.
func (c *common) client() (*Client, error) {
	token := c.token
	if c.tokenFile != "" {
		content, err := os.ReadFile(c.tokenFile)
		if err != nil {
			return nil, errors.Annotate(err, "operator token")
		}
		token = strings.TrimSpace(string(content))
	}
	transport := &http.Transport{}
	scheme := ""
	if c.tlsCA != "" {
		pem, err := os.ReadFile(c.tlsCA)
		if err != nil {
			return nil, errors.Annotate(err, "-tls-ca")
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, usagef("-tls-ca %s holds no PEM certificate", c.tlsCA)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
		scheme = "https://"
	}
	client := &Client{Token: token, Operator: c.operator, HTTP: &http.Client{Transport: transport, Timeout: c.timeout}}
	for _, address := range strings.Split(c.addresses, ",") {
		address = strings.TrimSpace(address)
		if address == "" {
			continue
		}
		if !strings.Contains(address, "://") {
			address = scheme + address
		}
		client.Addresses = append(client.Addresses, address)
	}
	if len(client.Addresses) == 0 {
		return nil, usagef("no address given: use -address or RATTANTIDE_ADDRESS")
	}
	return client, nil
}

// positionals returns the arguments that are no flags. Flags may stand behind
// them, which the flag package alone does not allow.
func positionals(f *flag.FlagSet) ([]string, error) {
	var out []string
	for f.NArg() > 0 {
		out = append(out, f.Arg(0))
		if err := f.Parse(f.Args()[1:]); err != nil {
			return nil, usagef("%v", err)
		}
	}
	return out, nil
}

func (c *common) printJSON(v any) error {
	encoder := json.NewEncoder(c.env.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

func (c *common) printYAML(v any) error {
	text, err := yaml.Marshal(v)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = c.env.Stdout.Write(text)
	return errors.Trace(err)
}
