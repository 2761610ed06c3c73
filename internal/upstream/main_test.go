package upstream

import (
	"io"
	"os"
	"testing"

	"github.com/valyala/fasthttp"
)

// TestMain makes fasthttp start its goroutine for the Date header outside any
// synctest bubble.
func TestMain(m *testing.M) {
	var resp fasthttp.Response
	_, _ = resp.WriteTo(io.Discard)
	os.Exit(m.Run())
}
