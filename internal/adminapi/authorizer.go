package adminapi

import (
	"github.com/sapphirehatch/sapphirehatch/internal/bearer"
	"github.com/sapphirehatch/sapphirehatch/internal/deployment"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

// bootstrapOperator is the name of the operator whose token hash is in the host's
// settings. It always has the editor role, so it can also apply the first document,
// which defines the other operators.
const bootstrapOperator = "bootstrap"

// Operator is an authenticated operator.
type Operator struct {
	Name string
	Role deployment.OperatorRole
}

// authorizer checks bearer tokens against the bootstrap operator and the operators of
// the document in force.
type authorizer struct {
	source               deployment.Source
	bootstrapTokenSHA256 string
}

// authorize returns the operator whose token is in an Authorization header. The error
// is of kind Unauthorized if there is none, and Forbidden if the operator's role does
// not include the required one.
func (a *authorizer) authorize(header string, required deployment.OperatorRole) (Operator, error) {
	token, found := bearer.FromHeader(header)
	if !found {
		return Operator{}, failure.New(failure.Unauthorized, failure.NotRun, "an operator's bearer token is required").WithField(bearer.HeaderAuthorization)
	}
	operator, known := a.find(token)
	if !known {
		return Operator{}, failure.New(failure.Unauthorized, failure.NotRun, "no operator has this token").WithField(bearer.HeaderAuthorization)
	}
	if required == deployment.RoleEditor && operator.Role != deployment.RoleEditor {
		return Operator{}, failure.New(failure.Forbidden, failure.NotRun, "operator %s may not change anything", operator.Name).
			WithLimit("role " + string(deployment.RoleEditor))
	}
	return operator, nil
}

func (a *authorizer) find(token bearer.Token) (Operator, bool) {
	if token.Matches(a.bootstrapTokenSHA256) {
		return Operator{Name: bootstrapOperator, Role: deployment.RoleEditor}, true
	}
	document := a.source.Current()
	if document == nil {
		return Operator{}, false
	}
	for name, operator := range document.Operators {
		if token.Matches(operator.TokenSHA256) {
			return Operator{Name: name, Role: operator.Role}, true
		}
	}
	return Operator{}, false
}
