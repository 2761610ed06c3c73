package command

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"github.com/sapphirehatch/sapphirehatch/internal/adminapi"
	"github.com/sapphirehatch/sapphirehatch/internal/adminclient"
	"github.com/sapphirehatch/sapphirehatch/internal/config"
	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
	"github.com/sapphirehatch/sapphirehatch/platform"
)

// configCommand groups the subcommands on the deployment document.
type configCommand struct {
	Check   configCheckCommand   `cmd:"" help:"Check a document, or the JSON configuration of a platform with a row store, without any host."`
	Apply   configApplyCommand   `cmd:"" help:"Apply a document."`
	Show    configShowCommand    `cmd:"" help:"Print a document."`
	History configHistoryCommand `cmd:"" help:"List accepted versions."`
	Status  configStatusCommand  `cmd:"" help:"Show which version is in force on each host."`
}

// operatorFlags are the flags of commands that call the administration API.
type operatorFlags struct {
	Host      []string `help:"Administration address of a host, ip:port. Several addresses are tried in order." required:""`
	TokenFile string   `help:"File with the operator's token. By default the token is the value of SAPPHIREHATCH_TOKEN." type:"existingfile"`
}

// tokenEnvVar is the environment variable with the operator's token.
const tokenEnvVar = "SAPPHIREHATCH_TOKEN"

// client returns a client of the administration API. It fails if there is no token.
func (f *operatorFlags) client() (*adminclient.Client, error) {
	token := os.Getenv(tokenEnvVar)
	if f.TokenFile != "" {
		text, err := os.ReadFile(f.TokenFile)
		if err != nil {
			return nil, failure.Wrap(err, failure.InvalidSettings, "", "token file %s cannot be read", f.TokenFile)
		}
		token = strings.TrimSpace(string(text))
	}
	if token == "" {
		return nil, failure.New(failure.Unauthorized, "", "a token is required").
			WithField("token-file").WithLimit("a file, or the variable " + tokenEnvVar)
	}
	return adminclient.New(f.Host, token), nil
}

// configCheckCommand validates a document without calling a host.
type configCheckCommand struct {
	File    string `arg:"" help:"The document." type:"existingfile"`
	Against string `help:"The JSON configuration in force: also print what differs from it." type:"existingfile"`
}

// Run prints one line for each problem. It returns an error if there is any.
func (c *configCheckCommand) Run(out *streams) error {
	text, err := readDocument(c.File)
	if err != nil {
		return err
	}
	var inForce []byte
	if c.Against != "" {
		if inForce, err = readDocument(c.Against); err != nil {
			return err
		}
	}
	if bytes.HasPrefix(bytes.TrimSpace(text), []byte("{")) {
		err = checkRowsConfig(out, text, inForce)
	} else if c.Against != "" {
		return failure.New(failure.InvalidDocument, "", "--against applies to JSON configurations only")
	} else if _, err = deployment.Parse(text); err != nil {
		printProblems(out, deployment.AsProblems(err))
	}
	if err != nil {
		return failure.New(failure.InvalidDocument, "", "%s is not valid", c.File)
	}
	_, _ = fmt.Fprintf(out.Out, "%s is valid\n", c.File)
	return nil
}

// checkRowsConfig checks the configuration of a platform with a row store, which begins
// with a brace, unlike a deployment document. It prints the problems, and what differs
// from inForce, the configuration in force, if that is not nil.
func checkRowsConfig(out *streams, text, inForce []byte) error {
	problems, differences, err := platform.CheckOffline(text, inForce)
	if err != nil {
		_, _ = fmt.Fprintln(out.Err, err)
		return err
	}
	for _, difference := range differences {
		_, _ = fmt.Fprintln(out.Out, difference)
	}
	for _, problem := range problems {
		_, _ = fmt.Fprintln(out.Err, problem)
	}
	if len(problems) > 0 {
		return failure.New(failure.InvalidDocument, "", "%d problems", len(problems))
	}
	return nil
}

func readDocument(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidDocument, "", "document %s cannot be read", path)
	}
	return text, nil
}

func printProblems(out *streams, problems []deployment.Problem) {
	for _, problem := range problems {
		_, _ = fmt.Fprintln(out.Err, problem)
	}
}

// configApplyCommand applies a document.
type configApplyCommand struct {
	operatorFlags
	File       string `arg:"" help:"The document." type:"existingfile"`
	Base       uint64 `help:"The version that was edited; 0 for the first document." required:""`
	RequireAll bool   `help:"Reject the change if a known host is not in contact."`
	ChangeID   string `help:"Id of the change. Repeating the command with the same id has no further effect. A new id by default."`
}

// Run applies the document and prints its version.
func (c *configApplyCommand) Run(out *streams) error {
	text, err := readDocument(c.File)
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	if c.ChangeID == "" {
		c.ChangeID = uuid.NewString()
	}
	answer, err := client.Apply(adminapi.ApplyRequest{Base: c.Base, ChangeID: c.ChangeID, Text: string(text), RequireAll: c.RequireAll})
	if err != nil {
		c.printDetails(out, err)
		return err
	}
	_, _ = fmt.Fprintf(out.Out, "version %d accepted, change %s\n", answer.Accepted.Version, answer.Accepted.ChangeID)
	if len(answer.NotInContact) > 0 {
		_, _ = fmt.Fprintf(out.Err, "not in contact, and on an earlier version if they serve: %s\n", strings.Join(answer.NotInContact, ", "))
	}
	return nil
}

// printDetails prints how to repeat the change if its outcome is unknown, the problems of
// a rejected document, and the version with which a change conflicts.
func (c *configApplyCommand) printDetails(out *streams, err error) {
	if failure.As(err).Outcome == failure.Unknown {
		_, _ = fmt.Fprintf(out.Err, "the outcome is unknown; repeat the command with --change-id %s\n", c.ChangeID)
	}
	response := adminclient.AsResponseError(err)
	if response == nil {
		return
	}
	printProblems(out, response.Problems)
	if current := response.Current; current != nil {
		_, _ = fmt.Fprintf(out.Err, "version %d was accepted at %s from operator %s, change %s\n",
			current.Version, current.AcceptedAt.Format(time.RFC3339), current.Operator, current.ChangeID)
	}
}

// configShowCommand prints a document.
type configShowCommand struct {
	operatorFlags
	Version uint64 `help:"An accepted version; the one in force by default."`
}

// Run prints the document to standard output and its version to standard error.
func (c *configShowCommand) Run(out *streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	record, err := client.Show(c.Version)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out.Err, "version %d, change %s\n", record.Version, record.ChangeID)
	_, _ = fmt.Fprint(out.Out, record.Text)
	return nil
}

// configHistoryCommand lists accepted versions.
type configHistoryCommand struct {
	operatorFlags
	Limit int `help:"The number of versions." default:"20"`
}

// Run prints the versions, newest first.
func (c *configHistoryCommand) Run(out *streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	versions, err := client.History(c.Limit)
	if err != nil {
		return err
	}
	table := newTable(out, "VERSION\tACCEPTED\tOPERATOR\tCHANGE\tHASH")
	for _, version := range versions {
		_, _ = fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%.12s\n", version.Version, version.AcceptedAt.Format(time.RFC3339), version.Operator, version.ChangeID, version.Hash)
	}
	return table.Flush()
}

// configStatusCommand shows which version is in force on each host.
type configStatusCommand struct {
	operatorFlags
	Wait time.Duration `help:"Time to wait for the version to be in force on every host."`
}

// statusPollInterval is the time between two status calls while waiting.
const statusPollInterval = 100 * time.Millisecond

// Run prints a line for each host. It returns an error if the version is not in force on
// all of them at the end of Wait.
func (c *configStatusCommand) Run(out *streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	status, err := client.Status()
	for deadline := time.Now().Add(c.Wait); (err != nil || !status.Everywhere) && time.Now().Before(deadline); {
		time.Sleep(statusPollInterval)
		status, err = client.Status()
	}
	if err != nil {
		return err
	}
	return printStatus(out, status)
}

func printStatus(out *streams, status config.Status) error {
	table := newTable(out, "HOST\tSTATE\tVERSION\tHASH")
	for _, host := range status.Hosts {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%.12s\n", host.Host, host.State, host.Version, host.Hash)
	}
	if err := table.Flush(); err != nil {
		return failure.Wrap(err, failure.Internal, "", "the table cannot be written")
	}
	if !status.Everywhere {
		return failure.New(failure.NotReady, "", "version %d is not in force on every host", status.Head.Version)
	}
	_, _ = fmt.Fprintf(out.Out, "version %d is in force on every host\n", status.Head.Version)
	return nil
}

func newTable(out *streams, header string) *tabwriter.Writer {
	table := tabwriter.NewWriter(out.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, header)
	return table
}
