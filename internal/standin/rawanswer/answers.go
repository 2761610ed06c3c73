package rawanswer

import (
	"fmt"
	"strconv"
	"strings"
)

// Marker is in each malformed answer next to what is wrong with it. It must not appear in
// logs, errors and answers to clients.
const Marker = "Zqx"

// EachPlace has names of malformed answers, with something wrong in each place of an answer.
var EachPlace = []string{
	"status 000", "status 000 before an answer", "status 999", "control byte in the reason",
	"blank in a name", "blank in the name of the length", "blank in the name of the coding", "blank after the name of length",
	"control byte in a name", "control byte in a value", "coding in a continued line", "chunks of HTTP/1.0",
	"blank in an interim name", "blank in a trailer name", "control byte after a chunk size", "chunk without its line end",
}

// Malformed returns answers that are not valid HTTP/1.1 responses, by what is wrong with
// them. Each has a body and the lines of header, which end in CRLF.
func Malformed(header, body string) map[string]string {
	const ok = "HTTP/1.1 200 OK\r\n"
	size := fmt.Sprintf("%x", len(body))
	number := strconv.Itoa(len(body))
	length := header + "Content-Length: " + number + "\r\n"
	chunked := header + "Transfer-Encoding: chunked\r\n"
	chunks := size + "\r\n" + body + "\r\n0\r\n"
	answers := map[string]string{
		"status 000":                      "HTTP/1.1 000 " + Marker + "\r\n" + length + "\r\n" + body,
		"status 000 without a body":       "HTTP/1.1 000 " + Marker + "\r\n" + header + "\r\n",
		"status 000 before an answer":     "HTTP/1.1 000 " + Marker + "\r\n\r\n" + ok + length + "\r\n" + body,
		"status 099":                      "HTTP/1.1 099 " + Marker + "\r\n" + length + "\r\n" + body,
		"status 600":                      "HTTP/1.1 600 " + Marker + "\r\n" + length + "\r\n" + body,
		"status 999":                      "HTTP/1.1 999 " + Marker + "\r\n" + length + "\r\n" + body,
		"status of two digits":            "HTTP/1.1 20 " + Marker + "\r\n" + length + "\r\n" + body,
		"status of four digits":           "HTTP/1.1 2000 " + Marker + "\r\n" + length + "\r\n" + body,
		"status with a sign":              "HTTP/1.1 +20 " + Marker + "\r\n" + length + "\r\n" + body,
		"status 101":                      "HTTP/1.1 101 " + Marker + "\r\n\r\n" + ok + length + "\r\n" + body,
		"other protocol":                  "HTTQ/1.1 200 " + Marker + "\r\n" + length + "\r\n" + body,
		"HTTP/2.0":                        "HTTP/2.0 200 " + Marker + "\r\n" + length + "\r\n" + body,
		"HTTP/0.9":                        "HTTP/0.9 200 " + Marker + "\r\n" + length + "\r\n" + body,
		"control byte in the reason":      "HTTP/1.1 200 " + Marker + "\x01\r\n" + length + "\r\n" + body,
		"CR in the reason":                "HTTP/1.1 200 O\rX-" + Marker + ": a\r\n" + length + "\r\n" + body,
		"empty line before":               "\r\n" + ok + length + "\r\n" + body,
		"blank in a name":                 ok + "X " + Marker + ": a\r\n" + length + "\r\n" + body,
		"blank in the name of the length": ok + header + "Content Length: " + number + "\r\nX-A: " + Marker + "\r\n\r\n" + body,
		"blank in the name of the coding": ok + header + "Transfer Encoding: chunked\r\n\r\n" + chunks + "\r\n",
		"blank after a name":              ok + "X-" + Marker + " : a\r\n" + length + "\r\n" + body,
		"blank after the name of length":  ok + header + "Content-Length : " + number + "\r\nX-A: " + Marker + "\r\n\r\n" + body,
		"tab after a name":                ok + "X-" + Marker + "\t: a\r\n" + length + "\r\n" + body,
		"continued line":                  ok + "X-A: a\r\n " + Marker + "\r\n" + length + "\r\n" + body,
		"length in a continued line":      ok + header + "X-" + Marker + ": a\r\n Content-Length: " + number + "\r\n\r\n" + body,
		"coding in a continued line":      ok + header + "X-A: a\r\n Transfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n",
		"first line continued":            ok + " X-" + Marker + ": a\r\n" + length + "\r\n" + body,
		"empty name":                      ok + ": " + Marker + "\r\n" + length + "\r\n" + body,
		"no colon":                        ok + "X-" + Marker + "\r\n" + length + "\r\n" + body,
		"line ends without CR":            strings.ReplaceAll(ok+"X-A: "+Marker+"\r\n"+length, "\r", "") + "\r\n" + body,
		"two lengths":                     ok + length + "Content-Length: 3\r\nX-A: " + Marker + "\r\n\r\n" + body,
		"negative length":                 ok + header + "Content-Length: -" + number + "\r\nX-A: " + Marker + "\r\n\r\n" + body,
		"length with a sign":              ok + header + "Content-Length: +" + number + "\r\nX-A: " + Marker + "\r\n\r\n" + body,
		"empty length":                    ok + header + "Content-Length: \r\nX-A: " + Marker + "\r\n\r\n" + body,
		"length out of range":             ok + header + "Content-Length: 99999999999999999999\r\nX-A: " + Marker + "\r\n\r\n" + body,
		"length and chunks":               ok + length + "Transfer-Encoding: chunked\r\nX-A: " + Marker + "\r\n\r\n" + chunks + "\r\n",
		"unknown coding":                  ok + header + "Transfer-Encoding: " + Marker + "\r\n\r\n" + chunks + "\r\n",
		"chunks of HTTP/1.0":              "HTTP/1.0 200 OK\r\n" + chunked + "\r\n" + chunks + "\r\n",
		"interim status line":             "HTTP/1.1 103 " + Marker + "\x01\r\n\r\n" + ok + length + "\r\n" + body,
		"blank in an interim name":        "HTTP/1.1 103 Early Hints\r\nX " + Marker + ": a\r\n\r\n" + ok + length + "\r\n" + body,
		"blank in a trailer name":         ok + chunked + "\r\n" + chunks + "X " + Marker + ": a\r\n\r\n",
		"blank after a trailer name":      ok + chunked + "\r\n" + chunks + "X-" + Marker + " : a\r\n\r\n",
		"control byte in a trailer":       ok + chunked + "\r\n" + chunks + "X-" + Marker + ": \x01\r\n\r\n",
		"continued trailer":               ok + chunked + "\r\n" + chunks + "X-A: a\r\n " + Marker + "\r\n\r\n",
		"length in a trailer":             ok + chunked + "\r\n" + chunks + "Content-Length: 2\r\nX-A: " + Marker + "\r\n\r\n",
		"chunk without a size":            ok + chunked + "\r\n" + Marker + "\r\n" + body + "\r\n0\r\n\r\n",
		"chunk size with a sign":          ok + chunked + "\r\n+" + chunks + "\r\n" + Marker,
		"chunk size out of range":         ok + chunked + "\r\nffffffffffffffffff\r\n" + body + "\r\n0\r\n\r\n" + Marker,
		"control byte after a chunk size": ok + chunked + "\r\n" + size + ";" + Marker + "\x01\r\n" + body + "\r\n0\r\n\r\n",
		"garbage after a chunk size":      ok + chunked + "\r\n" + size + " " + Marker + "\r\n" + body + "\r\n0\r\n\r\n",
		"chunk without its line end":      ok + chunked + "\r\n" + size + "\r\n" + body + Marker + "\r\n0\r\n\r\n",
		"chunk line ends without CR":      ok + chunked + "\r\n" + size + ";" + Marker + "\n" + body + "\r\n0\r\n\r\n",
	}
	for name, b := range map[string]string{"NUL": "\x00", "control byte": "\x01", "CR": "\r", "DEL": "\x7f", "byte above 0x7f": "\xa0"} {
		answers[name+" in a name"] = ok + "X" + b + Marker + ": a\r\n" + length + "\r\n" + body
		answers[name+" in the name of the length"] = ok + header + "Content" + b + "-Length: " + number + "\r\nX-A: " + Marker + "\r\n\r\n" + body
		answers[name+" at the end of a name"] = ok + "X-" + Marker + b + ": a\r\n" + length + "\r\n" + body
		if b != "\xa0" {
			answers[name+" in a value"] = ok + "X-A: " + b + Marker + "\r\n" + length + "\r\n" + body
		}
	}
	return answers
}

// Unusual returns valid responses with status 200 that are seldom seen, by what they have. Each
// has a body and the lines of header.
func Unusual(header, body string) map[string]string {
	const ok = "HTTP/1.1 200 OK\r\n"
	size := fmt.Sprintf("%x", len(body))
	number := strconv.Itoa(len(body))
	length := header + "Content-Length: " + number + "\r\n\r\n" + body
	chunked := header + "Transfer-Encoding: chunked\r\n"
	return map[string]string{
		"no reason":              "HTTP/1.1 200\r\n" + length,
		"empty reason":           "HTTP/1.1 200 \r\n" + length,
		"bytes above 0x7f":       "HTTP/1.1 200 \xc3\xa9t\xc3\xa9\tl\xe9\r\n" + length,
		"blanks before a status": "HTTP/1.1  200 OK\r\n" + length,
		"HTTP/1.0":               "HTTP/1.0 200 OK\r\n" + length,
		"interim answers":        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + ok + length,
		"all bytes of names":     ok + "!#$%&'*+-.^_`|~019azAZ: a\r\n" + length,
		"empty value":            ok + "X-A:\r\nX-B: \t \r\n" + length,
		"blanks in a value":      ok + "X-A:\t a \t b: \xc3\xa9 \r\n" + length,
		"length in lower case":   ok + header + "content-length:" + number + "\t\r\n\r\n" + body,
		"chunks":                 ok + header + "Transfer-Encoding: Chunked\r\n\r\n1\r\n" + body[:1] + "\r\n00" + fmt.Sprintf("%X", len(body)-1) + "\r\n" + body[1:] + "\r\n000\r\n\r\n",
		"extensions of chunks":   ok + chunked + "\r\n" + size + ";a;b=c;d=\"e \xc3\xa9\"\r\n" + body + "\r\n0;f\r\n\r\n",
		"blanks after a size":    ok + chunked + "\r\n" + size + " \t\r\n" + body + "\r\n0\r\n\r\n",
		"trailers":               ok + chunked + "Trailer: X-A\r\n\r\n" + size + "\r\n" + body + "\r\n0\r\nX-A: a\r\nX-B:\r\n\r\n",
	}
}

// EndlessAnswer is an answer that goes on until the client closes the connection: a beginning,
// and what is repeated after it.
type EndlessAnswer struct{ Begin, Repeat string }

// Endless returns answers without end, by what goes on in them. Each has the lines of header,
// unless what goes on comes before the header.
func Endless(header string) map[string]EndlessAnswer {
	ok := "HTTP/1.1 200 OK\r\n" + header
	chunked := ok + "Transfer-Encoding: chunked\r\n\r\n"
	return map[string]EndlessAnswer{
		"status line":      {"HTTP/1.1 200 O", "O"},
		"no answer at all": {"", "\x00\x01garbage"},
		"line ends":        {"", "\r\n"},
		"header line":      {ok + "X-A: ", "a"},
		"headers":          {ok, "X-A: a\r\n"},
		"interim answers":  {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"body":             {ok + "\r\n", "ok"},
		"chunks":           {chunked, "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"},
		"size of a chunk":  {chunked, "0"},
		"chunk extension":  {chunked + "1;", "a"},
		"trailer":          {chunked + "2\r\nok\r\n0\r\n", "X-A: a\r\n"},
	}
}
