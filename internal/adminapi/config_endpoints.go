package adminapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/gofiber/fiber/v3"

	"github.com/sapphirehatch/sapphirehatch/internal/config"
	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// defaultHistoryLimit is the number of versions listed if the query has no limit.
const defaultHistoryLimit = 20

// configEndpoints serves the configuration API.
type configEndpoints struct {
	committer *config.Committer
	reader    *config.Reader
}

func (e *configEndpoints) register(s *Server) {
	s.Handle(http.MethodGet, PathConfig, deployment.RoleViewer, e.show)
	s.Handle(http.MethodPost, PathConfig, deployment.RoleEditor, e.apply)
	s.Handle(http.MethodPost, PathConfigCheck, deployment.RoleViewer, e.check)
	s.Handle(http.MethodGet, PathConfigHistory, deployment.RoleViewer, e.history)
	s.Handle(http.MethodGet, PathConfigStatus, deployment.RoleViewer, e.status)
}

func (e *configEndpoints) show(c fiber.Ctx, _ Operator) error {
	version, err := queryNumber(c, "version", 0, ^uint64(0))
	if err != nil {
		return err
	}
	if version != 0 {
		record, err := e.reader.Version(c, version)
		if err != nil {
			return err
		}
		return c.JSON(record)
	}
	record := e.reader.InForce()
	if record.Version == 0 {
		return failure.New(failure.NotFound, "", "no configuration is in force on this host")
	}
	return c.JSON(record)
}

func (e *configEndpoints) apply(c fiber.Ctx, operator Operator) error {
	var request ApplyRequest
	if err := json.Unmarshal(c.Body(), &request); err != nil {
		return failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "the body is not an apply request")
	}
	notInContact := e.reader.NotInContact()
	if request.RequireAll && len(notInContact) > 0 {
		return failure.New(failure.NotReady, failure.NotRun, "no contact with %s", strings.Join(notInContact, ", ")).WithField("require_all")
	}
	accepted, err := e.committer.Commit(c, config.Change{
		ID:       request.ChangeID,
		Operator: operator.Name,
		Base:     request.Base,
		Text:     []byte(request.Text),
	})
	if err != nil {
		return err
	}
	return c.JSON(ApplyResponse{Accepted: accepted, NotInContact: notInContact})
}

func (e *configEndpoints) check(c fiber.Ctx, _ Operator) error {
	_, err := deployment.Parse(c.Body())
	return c.JSON(CheckResponse{Valid: err == nil, Problems: deployment.AsProblems(err)})
}

func (e *configEndpoints) history(c fiber.Ctx, _ Operator) error {
	limit, err := queryNumber(c, "limit", defaultHistoryLimit, config.HistoryLimit)
	if err != nil {
		return err
	}
	versions, err := e.reader.History(c, int(limit))
	if err != nil {
		return err
	}
	return c.JSON(HistoryResponse{Versions: versions})
}

func (e *configEndpoints) status(c fiber.Ctx, _ Operator) error {
	return c.JSON(e.reader.Status())
}

// queryNumber parses a query parameter as a whole number from 1 to maximum. It returns
// fallback if the parameter is missing.
func queryNumber(c fiber.Ctx, name string, fallback, maximum uint64) (uint64, error) {
	text := c.Query(name)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n == 0 || n > maximum {
		return 0, failure.New(failure.InvalidRequest, failure.NotRun, "query parameter %s has the value %q", name, text).
			WithField(name).WithLimit("a whole number from 1 to " + strconv.FormatUint(maximum, 10))
	}
	return n, nil
}
