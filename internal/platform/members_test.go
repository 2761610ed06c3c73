package platform

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"
)

// Guards against one odd entry of another writer among those of the replicas: the whole list
// was refused, and hosts stopped following it.
func TestMembersAreListedDespiteAnOddEntry(t *testing.T) {
	want := []Member{
		{ID: "a", Kind: EngineMember, Pool: "p", Address: "10.0.0.1:80", State: MemberLive},
		{ID: "b", Kind: ServiceMember, Pool: "q", Address: "b.example:80", State: MemberLeaving},
	}
	for name, odd := range map[string]string{
		"nested 100,000 times":       `{"id":"x","kind":"engine","address":"10.0.0.9:80","state":"live","other":` + strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000) + `}`,
		"array nested 100,000 times": strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000),
		"number too large":           `{"id":"x","kind":"engine","address":"10.0.0.9:80","state":1e999}`,
		"number for an id":           `{"id":5,"kind":"engine","address":"10.0.0.9:80","state":"live"}`,
		"port out of range":          `{"id":"x","kind":"engine","address":"10.0.0.9:99999","state":"live"}`,
		"no port":                    `{"id":"x","kind":"engine","address":"10.0.0.9","state":"live"}`,
		"port 0":                     `{"id":"x","kind":"engine","address":"10.0.0.9:0","state":"live"}`,
		"peer port out of range":     `{"id":"x","kind":"host","address":"10.0.0.9:80","peer_address":"10.0.0.9:-1","state":"live"}`,
		"no id":                      `{"kind":"engine","address":"10.0.0.9:80","state":"live"}`,
		"unknown kind":               `{"id":"x","kind":"other","address":"10.0.0.9:80","state":"live"}`,
		"no object":                  `"x"`,
		"null":                       `null`,
	} {
		t.Run(name, func(t *testing.T) {
			transport := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, `{"members":[{"id":"a","kind":"engine","pool":"p","address":"10.0.0.1:80","state":"live"},`+odd+
					`,{"id":"b","kind":"service","pool":"q","address":"b.example:80","state":"leaving"}]}`)
			})
			got, err := (&httpMembers{transport: transport, log: logr.Discard()}).List(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A reply without a list is an error, not a list without members.
func TestReplyWithoutMembersIsRefused(t *testing.T) {
	for _, body := range []string{"", "{}", `{"members":5}`, `{"members":[{"id":"a"`, "<html>"} {
		transport := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
		if got, err := (&httpMembers{transport: transport, log: logr.Discard()}).List(context.Background()); err == nil {
			t.Errorf("%q: %v", body, got)
		}
	}
}
