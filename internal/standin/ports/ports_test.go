package ports

import (
	"net"
	"testing"
)

// Each address is another one until the range begins anew, and one in use is passed over.
func TestAddressesAreFree(t *testing.T) {
	r := NewRange(29900, 3, 1)
	var got []string
	for range 4 {
		address, err := r.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		if got = append(got, address); len(got) != 1 {
			continue
		}
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
	}
	for i, want := range []string{"127.0.0.1:29901", "127.0.0.1:29902", "127.0.0.1:29900", "127.0.0.1:29902"} {
		if got[i] != want {
			t.Errorf("addresses are %v, want %s at %d", got, want, i)
		}
	}
}
