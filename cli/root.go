// Package cli holds the operators' commands. They call the administration API
// through its client and print tables or JSON.
package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"
	"unicode"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"waxwingtide.example/waxwingtide/admin"
	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/httplimit"
)

// Exit statuses of the commands.
const (
	ExitOK      = 0
	ExitFailure = 1
	// ExitInvalid is for wrong usage and invalid input, which cannot succeed
	// when repeated.
	ExitInvalid = 2
)

// Environment variables that stand in for flags.
const (
	EnvServer    = "WAXWINGTIDE_SERVER"
	EnvToken     = "WAXWINGTIDE_TOKEN"
	EnvTokenFile = "WAXWINGTIDE_TOKEN_FILE"
	EnvCAFile    = "WAXWINGTIDE_CA_FILE"
)

const defaultServer = "http://127.0.0.1:7070"

// options are the flags that all commands share.
type options struct {
	server    string
	tokenFile string
	caFile    string
	output    string
	timeout   time.Duration
}

// NewRoot returns the command tree. Further commands can be added to it.
func NewRoot() *cobra.Command {
	o := new(options)
	root := &cobra.Command{
		Use:           "waxwingtide",
		Short:         "Operate a Waxwingtide deployment",
		Long:          "Operate a Waxwingtide deployment: bundles, rollouts, failure domains and upstreams.\n\n" + environmentHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			return o.check()
		},
	}
	flags := root.PersistentFlags()
	flags.StringVar(&o.server, "server", envOr(EnvServer, defaultServer), "address of the administration API")
	flags.StringVar(&o.tokenFile, "token-file", os.Getenv(EnvTokenFile), "file that holds the bearer token")
	flags.StringVar(&o.caFile, "ca-file", os.Getenv(EnvCAFile), "PEM file of the certificate authority for an https server")
	flags.StringVarP(&o.output, "output", "o", outputTable, "output form: table or json")
	flags.DurationVar(&o.timeout, "timeout", 20*time.Second, "time limit of one command")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{outputTable, outputJSON}, cobra.ShellCompDirectiveNoFileComp))
	root.AddCommand(newBundle(o), newRollout(o), newDomain(o), newUpstream(o), newStatus(o), newAudit(o), newDuties(o))
	return root
}

const environmentHelp = `Environment variables:
  WAXWINGTIDE_SERVER      address of the administration API
  WAXWINGTIDE_TOKEN       bearer token
  WAXWINGTIDE_TOKEN_FILE  file that holds the bearer token; used before WAXWINGTIDE_TOKEN
  WAXWINGTIDE_CA_FILE     certificate authority for an https server

Exit status: 0 on success, 2 for wrong usage and invalid input, 1 otherwise.`

// Run executes the command tree with arguments, prints an error to the tree's
// error output and returns the exit status.
func Run(ctx context.Context, root *cobra.Command, args []string) int {
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err != nil {
		printError(root.ErrOrStderr(), err)
	}
	return ExitStatus(err)
}

// ExitStatus returns the exit status for an error of a command.
func ExitStatus(err error) int {
	if err == nil {
		return ExitOK
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return ExitFailure
	}
	var typed *errs.Error
	// Errors without a kind come from the parsing of arguments.
	if !errors.As(err, &typed) || typed.Kind == errs.Invalid {
		return ExitInvalid
	}
	return ExitFailure
}

func printError(w io.Writer, err error) {
	faults := bundle.FaultsOf(err)
	if len(faults) == 0 {
		_, _ = fmt.Fprintln(w, "error:", err)
		return
	}
	_, _ = fmt.Fprintf(w, "error: bundle has %d faults\n", len(faults))
	for _, fault := range faults {
		_, _ = fmt.Fprintln(w, " ", fault)
	}
}

func envOr(name, fallback string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return fallback
}

func (o *options) check() error {
	if o.output != outputTable && o.output != outputJSON {
		return errs.New(errs.Invalid, "use table or json", "there is no output form %q", o.output)
	}
	return nil
}

// client returns a client of the administration API.
func (o *options) client() (*admin.Client, error) {
	token, err := o.token()
	if err != nil {
		return nil, err
	}
	transport, err := o.transport()
	if err != nil {
		return nil, err
	}
	return &admin.Client{BaseURL: o.server, Token: token, HTTP: &http.Client{Transport: transport}}, nil
}

func (o *options) token() (string, error) {
	if o.tokenFile == "" {
		token := os.Getenv(EnvToken)
		if token == "" {
			return "", errs.New(errs.Invalid, "set "+EnvToken+" or --token-file", "no bearer token is given")
		}
		return token, nil
	}
	body, err := os.ReadFile(o.tokenFile)
	if err != nil {
		return "", errs.Wrap(err, errs.Invalid, "correct --token-file", "bearer token cannot be read")
	}
	token := strings.TrimSpace(string(body))
	if token == "" || strings.ContainsFunc(token, unicode.IsSpace) {
		return "", errs.New(errs.Invalid, "write the token alone into the file", "%s does not hold one bearer token", o.tokenFile)
	}
	return token, nil
}

func (o *options) transport() (*http.Transport, error) {
	transport := httplimit.NewTransport()
	if o.caFile == "" {
		return transport, nil
	}
	pem, err := os.ReadFile(o.caFile)
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "correct --ca-file", "certificate authority cannot be read")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, errs.New(errs.Invalid, "use a PEM file with certificates", "%s has no certificate", o.caFile)
	}
	transport.TLSClientConfig = &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}
	return transport, nil
}

// action is the body of a command that calls the API.
type action func(ctx context.Context, c *admin.Client, out printer, args []string) error

// run turns an action into a cobra function with the command's time limit.
func (o *options) run(body action) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		ctx, cancel := context.WithTimeout(cmd.Context(), o.timeout)
		defer cancel()
		return o.runIn(ctx, cmd, args, body)
	}
}

// runUnlimited is run without a time limit.
func (o *options) runUnlimited(body action) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		return o.runIn(cmd.Context(), cmd, args, body)
	}
}

func (o *options) runIn(ctx context.Context, cmd *cobra.Command, args []string, body action) error {
	c, err := o.client()
	if err != nil {
		return err
	}
	defer c.HTTP.CloseIdleConnections()
	return body(ctx, c, o.printer(cmd), args)
}

// group returns a command that only holds subcommands.
func group(use, short string, children ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return errs.New(errs.Invalid, "see waxwingtide "+use+" --help", "%s needs a subcommand", use)
		},
	}
	cmd.AddCommand(children...)
	return cmd
}
