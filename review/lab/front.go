package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// front is one host's way to the row store. It passes each call on, and can delay reads
// and make open connections silent.
type front struct {
	store  string
	server *http.Server
	client *http.Client
	// readDelay is added to each read call, in nanoseconds.
	readDelay atomic.Int64

	mu sync.Mutex
	// pending holds the path and query of the call that each connection waits for.
	pending map[net.Conn]string
	silent  map[net.Conn]bool
}

type connKey struct{}

// newFront listens on a free port and passes calls on to a store.
func newFront(store string) (*front, string, error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(loopback, "0"))
	if err != nil {
		return nil, "", err
	}
	f := &front{store: store, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, pending: map[net.Conn]string{}, silent: map[net.Conn]bool{}}
	f.server = &http.Server{
		Handler:           http.HandlerFunc(f.serve),
		ReadHeaderTimeout: time.Minute,
		ConnContext:       func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	go func() { _ = f.server.Serve(listener) }()
	return f, listener.Addr().String(), nil
}

func (f *front) close() { _ = f.server.Close() }

// silence makes the connections silent for good that wait for a call whose path and
// query contain text. It returns their number.
func (f *front) silence(text string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for conn, call := range f.pending {
		if strings.Contains(call, text) {
			f.silent[conn] = true
			n++
		}
	}
	return n
}

func (f *front) setPending(conn net.Conn, call string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if call == "" {
		delete(f.pending, conn)
		return
	}
	f.pending[conn] = call
}

func (f *front) isSilent(conn net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silent[conn]
}

func (f *front) serve(w http.ResponseWriter, r *http.Request) {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	f.setPending(conn, r.URL.RequestURI())
	defer f.setPending(conn, "")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if r.Method == http.MethodGet {
		time.Sleep(time.Duration(f.readDelay.Load()))
	}
	call, err := http.NewRequestWithContext(context.WithoutCancel(r.Context()), r.Method, "http://"+f.store+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	answer, err := f.client.Do(call)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = answer.Body.Close() }()
	reply, err := io.ReadAll(answer.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if f.isSilent(conn) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", answer.Header.Get("Content-Type"))
	w.WriteHeader(answer.StatusCode)
	_, _ = w.Write(reply)
}
