package command

import (
	"fmt"

	"github.com/sapphirehatch/sapphirehatch/internal/hostkeys"
)

// keysCommand creates the TLS keys of hosts.
type keysCommand struct {
	Out  string   `help:"Directory of the certificate authority and the host keys." required:"" type:"path"`
	Host []string `help:"Id of a host; may be repeated." required:""`
}

// Run writes the keys and prints the file names.
func (c *keysCommand) Run(out *streams) error {
	if err := hostkeys.Write(c.Out, c.Host...); err != nil {
		return err
	}
	for _, id := range c.Host {
		_, _ = fmt.Fprintf(out.Out, "%s/%s%s %s/%s%s\n", c.Out, id, hostkeys.CertificateSuffix, c.Out, id, hostkeys.KeySuffix)
	}
	return nil
}
