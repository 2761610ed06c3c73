package console

import (
	"strings"

	"github.com/samber/do/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/adminapi"
	"github.com/sapphirehatch/sapphirehatch/internal/config"
)

// Provide registers the *Console. Building it adds its routes to the administration API.
func Provide(i do.Injector) {
	do.Provide(i, func(i do.Injector) (*Console, error) {
		pages, err := newPages()
		if err != nil {
			return nil, err
		}
		c := &Console{
			server:    do.MustInvoke[*adminapi.Server](i),
			committer: do.MustInvoke[*config.Committer](i),
			reader:    do.MustInvoke[*config.Reader](i),
			sessions:  newSessions(),
			pages:     pages,
		}
		c.registerRoutes()
		return c, nil
	})
}

// normaliseLines converts the CRLF line ends of browser forms to LF.
func normaliseLines(text string) string { return strings.ReplaceAll(text, "\r\n", "\n") }
