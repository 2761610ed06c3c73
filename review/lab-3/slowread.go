package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sapphirehatch/sapphirehatch/internal/platform"
)

const (
	// answerBytes is the size of an answer, of which a caller reads readPiece bytes each readPause:
	// all of it in about 6 s.
	answerBytes = 24 << 20
	readPiece   = 64 << 10
	readPause   = 16 * time.Millisecond
	// slowLimit is the time limit of a caller. It is below the timeout of the route.
	slowLimit = 9 * time.Second
	// stopGrace is the time from SIGTERM to SIGKILL (grace_s).
	stopGrace = 8 * time.Second
	// slowCallers is the number of callers.
	slowCallers = 4
)

// startLargeService starts a replica of the plain service whose answers have answerBytes.
func startLargeService(l *lab, id string) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	body := []byte(strings.Repeat("0123456789abcdef", answerBytes/16))
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := r.Header.Get("Sapphirehatch-Attempt-Id")
		w.Header().Set("Sapphirehatch-Attempt-Id", request)
		if want := r.Header.Get("Sapphirehatch-Expect-Replica"); want != "" && want != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.Header().Set("Sapphirehatch-Replica-Stamp", id+"."+request)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, err := w.Write(body)
		l.note("replica %s ran %s, error of its answer %v", id, request, err)
	})}
	go func() { _ = server.Serve(listener) }()
	entry, err := json.Marshal(map[string]any{
		"service": "files", "address": listener.Addr().String(), "zone": "z1", "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	l.rows.Put(platform.RowID{Table: "servers", Key: id}, entry)
	return nil
}

// slowRead makes a request and reads its answer slowly. begun is called once the answer has begun. It
// reports whether the answer was whole, or ended after the caller's time limit.
func (l *lab) slowRead(m *machine, id string, begun func()) bool {
	defer begun()
	sent := time.Now()
	conn, err := net.Dial("tcp4", m.addr["caller"])
	if err != nil {
		l.note("%s: %v", id, err)
		return false
	}
	defer func() { _ = conn.Close() }()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(readPiece)
	}
	_, err = fmt.Fprintf(conn, "GET /files/x HTTP/1.1\r\nHost: name.example\r\nSapphirehatch-Attempt-Id: %s\r\nSapphirehatch-Deadline-Ms: %d\r\n\r\n", id, slowLimit.Milliseconds())
	if err != nil {
		l.note("%s: %v", id, err)
		return false
	}
	read, head := 0, ""
	buffer := make([]byte, readPiece)
	for {
		n, err := conn.Read(buffer)
		if head == "" {
			head, _, _ = strings.Cut(string(buffer[:n]), "\r\n\r\n")
			read = -len(head) - 4
			begun()
		}
		read += n
		if read >= answerBytes || err != nil {
			whole := read == answerBytes
			l.note("%s at %s: %q, %d of %d bytes, error %v, ended after %s", id, m.id, firstLine(head), read, answerBytes, err, time.Since(sent).Round(time.Millisecond))
			return whole || time.Since(sent) >= slowLimit
		}
		time.Sleep(readPause * time.Duration(n) / readPiece)
	}
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\r\n")
	return line
}

// slowReaders stops a host as planned while callers read large answers slowly.
func slowReaders(l *lab) (int, error) {
	if err := l.startMachines(3); err != nil {
		return couldNot, err
	}
	const route = `,{"name":"files","hostname":"name.example","path_prefix":"/files/","route_kind":"idempotent","timeout_ms":10000,"target_latency_ms":500,"priority":2,"service":"files","max_attempts":2}],
 "services":[{"name":"files","health_path":"/healthz","max_conns":110},`
	config := strings.Replace(configuration, `"version":1,`, `"version":2,`, 1)
	config = strings.Replace(config, "],\n \"services\":[", route, 1)
	l.rows.Put(platform.RowID{Table: "op", Key: "config"}, []byte(config))
	if err := startLargeService(l, "files-1"); err != nil {
		return couldNot, err
	}
	l.sleep(4 * time.Second)
	m := l.machines[0]
	var answered, done sync.WaitGroup
	answered.Add(slowCallers)
	results := make([]bool, slowCallers)
	for i := range slowCallers {
		done.Go(func() {
			results[i] = l.slowRead(m, fmt.Sprintf("7c41e09b52d6a3f%d", i), sync.OnceFunc(answered.Done))
		})
	}
	answered.Wait()
	l.note("all answers have begun")
	if l.trouble {
		l.sleep(200 * time.Millisecond)
		m.stopPlanned()
	}
	done.Wait()
	for _, sound := range results {
		if !sound {
			return broken, nil
		}
	}
	return held, nil
}

// stopPlanned sends SIGTERM, and SIGKILL after stopGrace if the process still runs.
func (m *machine) stopPlanned() {
	m.mu.Lock()
	p := m.process
	m.mu.Unlock()
	if p == nil {
		return
	}
	m.lab.note("%s: SIGTERM", m.id)
	_ = p.Signal(syscall.SIGTERM)
	go func() {
		m.lab.sleep(stopGrace)
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.process == p {
			m.lab.note("%s: SIGKILL after the grace period", m.id)
			_ = p.Kill()
		}
	}()
}
