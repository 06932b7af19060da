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

	"rattantide/internal/responsehead"
)

const (
	defaultAddress = "127.0.0.1:7410"
	defaultTimeout = 10 * time.Second
)

// commonFlags holds the flags that the subcommands share.
type commonFlags struct {
	env       *Env
	addresses string
	tokenFile string
	token     string
	operator  string
	tlsCA     string
	output    string
	timeout   time.Duration
}

// register defines the flags in f. outputs lists the values of -o, separated by
// "|", of which the first is the default; without any, -o is not defined.
func (c *commonFlags) register(f *flag.FlagSet, outputs string) {
	if f.Output() == os.Stderr { // The help command sets a different output, which is kept.
		f.SetOutput(c.env.Stderr)
	}
	f.StringVar(&c.addresses, "address", c.envOrDefault("RATTANTIDE_ADDRESS", defaultAddress),
		"comma-separated `addresses` of daemons; a command that needs only one daemon tries them in order (RATTANTIDE_ADDRESS)")
	f.StringVar(&c.tokenFile, "operator-token-file", c.env.Getenv("RATTANTIDE_OPERATOR_TOKEN_FILE"),
		"`file` that contains the operator token (RATTANTIDE_OPERATOR_TOKEN_FILE; RATTANTIDE_OPERATOR_TOKEN sets the token itself)")
	f.StringVar(&c.operator, "operator", c.envOrDefault("RATTANTIDE_OPERATOR", userName()),
		"`name` recorded in the change log (RATTANTIDE_OPERATOR)")
	f.StringVar(&c.tlsCA, "tls-ca", c.env.Getenv("RATTANTIDE_TLS_CA"),
		"PEM `file` with the CA certificates that verify the daemons; implies https (RATTANTIDE_TLS_CA)")
	f.DurationVar(&c.timeout, "timeout", defaultTimeout, "timeout of one call")
	if outputs != "" {
		f.StringVar(&c.output, "o", strings.Split(outputs, "|")[0], "output format: `"+outputs+"`")
	}
	c.token = c.env.Getenv("RATTANTIDE_OPERATOR_TOKEN")
}

func (c *commonFlags) envOrDefault(name, fallback string) string {
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

// checkOutput returns a usage error unless -o is one of the allowed formats.
func (c *commonFlags) checkOutput(allowed ...string) error {
	for _, output := range allowed {
		if c.output == output {
			return nil
		}
	}
	return usagef("-o must be %s, got %q", strings.Join(allowed, ", "), c.output)
}

// client returns a Client configured by the flags.
func (c *commonFlags) client() (*Client, error) {
	token := c.token
	if c.tokenFile != "" {
		content, err := os.ReadFile(c.tokenFile)
		if err != nil {
			return nil, errors.Annotate(err, "cannot read the operator token")
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
			return nil, usagef("-tls-ca: %s contains no PEM certificate", c.tlsCA)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
		scheme = "https://"
	}
	client := &Client{Token: token, Operator: c.operator, HTTP: &http.Client{Transport: responsehead.NewTransport(transport), Timeout: c.timeout}}
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
		return nil, usagef("no address given; set -address or RATTANTIDE_ADDRESS")
	}
	return client, nil
}

// positionalArgs returns the arguments that are not flags. Flags may follow
// them, which the flag package alone does not support.
func positionalArgs(f *flag.FlagSet) ([]string, error) {
	var out []string
	for f.NArg() > 0 {
		out = append(out, f.Arg(0))
		if err := f.Parse(f.Args()[1:]); err != nil {
			return nil, usagef("%v", err)
		}
	}
	return out, nil
}

func (c *commonFlags) printJSON(v any) error {
	encoder := json.NewEncoder(c.env.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

func (c *commonFlags) printYAML(v any) error {
	text, err := yaml.Marshal(v)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = c.env.Stdout.Write(text)
	return errors.Trace(err)
}
