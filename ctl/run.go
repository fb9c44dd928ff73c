package ctl

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/chestnutfield/chestnutfield/admin/client"
	"github.com/chestnutfield/chestnutfield/config/schema"
	"github.com/chestnutfield/chestnutfield/table/check"
)

// Streams are the standard streams of the tool.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Options configures what the command line does not.
type Options struct {
	Streams
	// Clock is the clock of the command wait; nil selects the real one.
	Clock clockwork.Clock
	// NewChangeID generates change ids; nil selects random ones.
	NewChangeID func() string
	// Platform reads configurations in the form of the users' platform.
	Platform check.Platform
}

// session is one execution of the tool. Run methods set exitCode when it is not
// the default, which is ExitOK without an error and ExitFailed with one.
type session struct {
	Options
	flags    *grammar
	client   *client.Client
	kind     schema.TableName
	exitCode int
}

// Run executes one command line, given without the program's name, and returns
// the exit code.
func Run(ctx context.Context, args []string, o Options) int {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.NewChangeID == nil {
		o.NewChangeID = newChangeID
	}
	var g grammar
	s := &session{Options: o, flags: &g}
	exit := -1
	parser, err := kong.New(&g, kong.Name("chestnutctl"), kong.Description("Edits the tables of chestnutfield and shows its state."),
		kong.Writers(o.Out, o.Err), kong.Exit(func(code int) { exit = code }), kong.Bind(s), kong.BindTo(ctx, (*context.Context)(nil)))
	if err != nil {
		panic(err)
	}
	parsed, err := parser.Parse(args)
	if err == nil && g.Admin == "" && !strings.HasPrefix(parsed.Command(), "config ") {
		err = errors.New("missing flags: --admin=http://IP:PORT")
	}
	switch {
	case exit >= 0:
		return exit
	case err != nil:
		fmt.Fprintf(o.Err, "chestnutctl: %v\n", err)
		return ExitRefused
	}
	if s.client, err = newClient(g); err != nil {
		fmt.Fprintf(o.Err, "chestnutctl: %v\n", err)
		return ExitRefused
	}
	s.kind = tableOf(parsed.Command())
	if err := parsed.Run(); err != nil {
		fmt.Fprintf(o.Err, "chestnutctl: %v\n", err)
		return max(s.exitCode, ExitFailed)
	}
	return s.exitCode
}

// tableOf returns the table that a command such as "pools list" is about.
func tableOf(command string) schema.TableName {
	table, _, _ := strings.Cut(command, " ")
	return schema.TableName(table)
}

func newClient(g grammar) (*client.Client, error) {
	config, err := tlsConfig(g)
	if err != nil {
		return nil, err
	}
	return client.New(client.Options{Address: g.Admin, Token: g.Token, TLS: config}), nil
}

func tlsConfig(g grammar) (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if g.CA != "" {
		pem, err := os.ReadFile(g.CA)
		if err != nil {
			return nil, errors.Wrap(err, "--ca")
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, errors.Errorf("--ca: %s: expected certificates in PEM form", g.CA)
		}
	}
	if (g.Cert == "") != (g.Key == "") {
		return nil, errors.New("--cert and --key: expected both or neither")
	}
	if g.Cert != "" {
		pair, err := tls.LoadX509KeyPair(g.Cert, g.Key)
		if err != nil {
			return nil, errors.Wrap(err, "--cert")
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return config, nil
}

const changeIDBytes = 12

func newChangeID() string {
	b := make([]byte, changeIDBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}
