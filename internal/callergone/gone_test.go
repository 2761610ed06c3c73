package callergone

import (
	"net"
	"testing"
)

func TestClosedByCaller(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	caller, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if Closed(conn) {
		t.Error("an open connection counts as closed")
	}
	if _, err := caller.Write([]byte("next")); err != nil {
		t.Fatal(err)
	}
	one := make([]byte, 4)
	if _, err := conn.Read(one); err != nil || Closed(conn) {
		t.Errorf("a connection in use counts as closed, %v", err)
	}
	_ = caller.Close()
	// Reading to the end waits until the close has arrived. Closed still sees it afterwards.
	if n, _ := conn.Read(one); n != 0 || !Closed(conn) {
		t.Error("a closed connection counts as open")
	}
}
