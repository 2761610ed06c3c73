package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"

	"github.com/go-logr/logr"
	"github.com/tidwall/gjson"
)

// httpMembers is the HTTP client of Members.
type httpMembers struct {
	transport *transport
	log       logr.Logger
	// unusable is the number of unusable entries in the last list.
	unusable atomic.Int64
}

// List implements Members. It leaves out the entries that can't be decoded or name no member
// that can be reached: anyone may write one.
func (m *httpMembers) List(ctx context.Context) ([]Member, error) {
	c := call{method: http.MethodGet, path: PathMembers, effect: reads}
	got, err := m.transport.do(ctx, c)
	if err != nil {
		return nil, err
	}
	if got.status >= minNonSuccessStatus {
		return nil, statusError(got, c)
	}
	// Entries are found without decoding them: a decoder refuses the whole list for one
	// entry that is nested too deep.
	list := gjson.GetBytes(got.body, "members")
	if list.Type != gjson.Null && !list.IsArray() || !list.Exists() || !bytes.HasSuffix(bytes.TrimSpace(got.body), []byte("}")) {
		return nil, maybeSentError(nil, c, "platform's reply to %s has no list", c.path)
	}
	var members []Member
	unusable := 0
	list.ForEach(func(_, entry gjson.Result) bool {
		var member Member
		if err := json.Unmarshal([]byte(entry.Raw), &member); err != nil || !member.usable() {
			unusable++
			return true
		}
		members = append(members, member)
		return true
	})
	if before := m.unusable.Swap(int64(unusable)); before != int64(unusable) {
		m.log.Info("unusable entries of the membership list are ignored", "entries", unusable, "before", before, "usable", len(members))
	}
	return members, nil
}

// usable reports whether an entry names a member that can be reached.
func (m Member) usable() bool {
	known := m.Kind == HostMember || m.Kind == EngineMember || m.Kind == ServiceMember
	return known && m.ID != "" && hasPort(m.Address) && (m.PeerAddress == "" || hasPort(m.PeerAddress))
}

// hasPort reports whether an address has the form host:port with a port that can be dialed.
func hasPort(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number != 0
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
