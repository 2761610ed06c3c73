package platform

import (
	"context"
	"net/http"
	"net/url"
)

// httpMembers is the HTTP client of Members.
type httpMembers struct{ transport *transport }

func (m *httpMembers) List(ctx context.Context) ([]Member, error) {
	var response MembersResponse
	err := m.transport.getJSON(ctx, PathMembers, &response)
	return response.Members, err
}

func (m *httpMembers) Register(ctx context.Context, member Member) error {
	got, err := m.transport.postJSON(ctx, PathMembers, writes, member, nil)
	if err != nil {
		return err
	}
	if got.status >= minNonSuccessStatus {
		return statusError(got, call{path: PathMembers})
	}
	return nil
}

func (m *httpMembers) Deregister(ctx context.Context, id string) error {
	c := call{method: http.MethodDelete, path: PathMembers + "/" + url.PathEscape(id), effect: writes}
	got, err := m.transport.do(ctx, c)
	if err != nil {
		return err
	}
	if got.status >= minNonSuccessStatus && got.status != http.StatusNotFound {
		return statusError(got, c)
	}
	return nil
}
