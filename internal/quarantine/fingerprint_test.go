package quarantine

import (
	"testing"

	"github.com/valyala/fasthttp"
)

func TestFingerprintIdentifiesTheContent(t *testing.T) {
	of := func(method, uri, body string) Fingerprint {
		var req fasthttp.Request
		req.Header.SetMethod(method)
		req.SetRequestURI(uri)
		req.SetBodyString(body)
		return FingerprintOf("host", &req)
	}
	base := of("POST", "/a/b", "body")
	for name, test := range map[string]struct {
		f    Fingerprint
		same bool
	}{
		"again":            {of("POST", "/a/b", "body"), true},
		"another query":    {of("POST", "/a/b?page=2", "body"), true},
		"another path":     {of("POST", "/a/c", "body"), false},
		"another body":     {of("POST", "/a/b", "bod"), false},
		"another method":   {of("PUT", "/a/b", "body"), false},
		"shifted boundary": {of("POST", "/a/bb", "ody"), false},
	} {
		if (test.f == base) != test.same {
			t.Errorf("%s: same %t, want %t", name, test.f == base, test.same)
		}
	}
	if of("GET", "/a?page=1", "") == of("GET", "/a?page=2", "") {
		t.Error("pages of a list without a body are the same")
	}
}
