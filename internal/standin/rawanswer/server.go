package rawanswer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
)

// repeatBlock is the least number of bytes that an answer without end is written in.
const repeatBlock = 4 << 10

// Server answers every request with the same raw bytes.
type Server struct {
	listener net.Listener
	raw      string
	// repeat is written after the answer until the client closes the connection; empty for none.
	repeat string
	// idHeader is the name of the header with the id of a request; empty if the answer has none.
	idHeader string
	closing  bool

	mu sync.Mutex
	// conns holds the number of requests on each open connection.
	conns map[net.Conn]int
	// received holds the ids of the requests.
	received map[string]bool
	reused   bool
	// sent is the number of bytes that were written.
	sent int64
}

// ListenEndless starts a server whose answers have no end. It is as for Listen.
func ListenEndless(a EndlessAnswer) (*Server, error) {
	return listen(&Server{raw: a.Begin, repeat: strings.Repeat(a.Repeat, 1+repeatBlock/len(a.Repeat)), closing: true})
}

// idPlaceholder stands for the id of the request, which is in the header that it names.
var idPlaceholder = regexp.MustCompile(`\{([A-Za-z]+-[A-Za-z-]+)\}`)

// Listen starts a server on a loopback port. {NAME} in its answer is replaced by the request's
// header of that name, which holds its id. If closing, it closes each connection after its first answer.
func Listen(raw string, closing bool) (*Server, error) {
	return listen(&Server{raw: raw, closing: closing})
}

func listen(s *Server) (*Server, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if name := idPlaceholder.FindStringSubmatch(s.raw + s.repeat); name != nil {
		s.idHeader = name[1]
	}
	s.listener, s.conns, s.received = listener, map[net.Conn]int{}, map[string]bool{}
	go s.accept()
	return s, nil
}

// Each calls visit with a server of each answer, twice: with one that keeps its connections
// open and with one that closes them.
func Each(answers map[string]string, visit func(name string, s *Server)) error {
	for name, raw := range answers {
		for _, closing := range []bool{false, true} {
			s, err := Listen(raw, closing)
			if err != nil {
				return err
			}
			visit(name, s)
			s.Close()
		}
	}
	return nil
}

// EachEndless calls visit with a server of each answer without end.
func EachEndless(visit func(name string, s *Server)) error {
	for name, a := range Endless("") {
		s, err := ListenEndless(a)
		if err != nil {
			return err
		}
		visit(name, s)
		s.Close()
	}
	return nil
}

// Address returns the server's ip:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Received reports whether the server has received a request with an id; any if id is empty.
func (s *Server) Received(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received[id] || id == "" && len(s.received) > 0
}

// Reused reports whether any connection carried a second request.
func (s *Server) Reused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reused
}

// Close stops the server and closes its connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = 0
		s.mu.Unlock()
		go s.serve(conn)
	}
}

func (s *Server) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get(s.idHeader)
		s.record(conn, id)
		err = s.write(conn, idPlaceholder.ReplaceAllLiteralString(s.raw, id))
		repeat := idPlaceholder.ReplaceAllLiteralString(s.repeat, id)
		for err == nil && repeat != "" {
			err = s.write(conn, repeat)
		}
		if err != nil || s.closing {
			return
		}
	}
}

// Sent returns the number of bytes that were written.
func (s *Server) Sent() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

func (s *Server) write(conn net.Conn, text string) error {
	n, err := io.WriteString(conn, text)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent += int64(n)
	return err
}

// record records a request.
func (s *Server) record(conn net.Conn, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received[id] = true
	s.conns[conn]++
	s.reused = s.reused || s.conns[conn] > 1
}
