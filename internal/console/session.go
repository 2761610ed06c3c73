package console

import (
	"crypto/rand"
	"crypto/subtle"
	"sync"
	"time"

	"github.com/google/uuid"
)

const (
	sessionLifetime = 8 * time.Hour
	// maxSessions bounds the number of sessions on one host, and with it their memory.
	// At the limit a new session ends the oldest one.
	maxSessions = 64
)

// session is the login of one operator on this host. It is lost when the process ends.
type session struct {
	id      string
	token   string
	csrf    string
	created time.Time

	// mu guards draft, because a browser may send two forms at once.
	mu    sync.Mutex
	draft *draft
}

// draft is an edited document that is not applied yet.
type draft struct {
	// base is the version that was edited.
	base uint64
	// changeID identifies the text as one change, also if it is applied twice.
	changeID string
	text     []byte
}

func newDraft(base uint64, text []byte) *draft {
	return &draft{base: base, changeID: uuid.NewString(), text: text}
}

// replaceText sets a new text, which gets a new change id.
func (d *draft) replaceText(text []byte) {
	d.text = text
	d.changeID = uuid.NewString()
}

// sessions holds the sessions of this host by id.
type sessions struct {
	mu   sync.Mutex
	byID map[string]*session
	now  func() time.Time
}

func newSessions() *sessions { return &sessions{byID: map[string]*session{}, now: time.Now} }

// start creates a session for an operator's token.
func (s *sessions) start(token string) *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	created := &session{id: rand.Text(), csrf: rand.Text(), token: token, created: s.now()}
	if len(s.byID) >= maxSessions {
		s.endOldest()
	}
	s.byID[created.id] = created
	return created
}

func (s *sessions) endOldest() {
	var oldest *session
	for _, candidate := range s.byID {
		if oldest == nil || candidate.created.Before(oldest.created) {
			oldest = candidate
		}
	}
	delete(s.byID, oldest.id)
}

// find returns the session with an id, or nil if there is none or it has expired.
func (s *sessions) find(id string) *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.byID[id]
	if found == nil {
		return nil
	}
	if s.now().Sub(found.created) > sessionLifetime {
		delete(s.byID, id)
		return nil
	}
	return found
}

func (s *sessions) end(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byID, id)
}

// validCSRF reports whether a form's CSRF token is that of the session.
func (s *session) validCSRF(csrf string) bool {
	return subtle.ConstantTimeCompare([]byte(csrf), []byte(s.csrf)) == 1
}
