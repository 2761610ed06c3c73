package upstream

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/intake"
)

// maxEventBytes bounds one event of an event stream, and one line of a stream of chunks, in bytes.
const maxEventBytes = 1 << 20

var dataField = []byte("data:")

// bodyReader reads the body of an answer. Its errors have none of the answer's bytes.
type bodyReader struct{ body io.Reader }

// Read implements io.Reader.
func (r bodyReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err != nil {
		err = withoutContents(err)
	}
	return n, err
}

// bodyStream returns the body that follows the header in resp, to be read as it arrives.
func bodyStream(co *conn, resp *fasthttp.Response) (io.Reader, error) {
	resp.StreamBody = true
	if err := resp.ReadBody(co.reader, 0); err != nil {
		return nil, err
	}
	return bodyReader{resp.BodyStream()}, nil
}

// readEvents reads a server-sent event stream of chunks to the end of the body.
// It returns nil only if the stream contains its end event, and no data after it.
// account is charged with large events; it may be nil.
func readEvents(body io.Reader, account *intake.Account, onChunk ChunkFunc) error {
	events := NewEventReader(body, account)
	defer events.Close()
	done := false
	for {
		line, readErr := events.Line()
		if readErr != nil && !errors.Is(readErr, io.EOF) {
			return readErr
		}
		if data, found := bytes.CutPrefix(line, dataField); found {
			if done {
				return errTrailingBytes
			}
			data = bytes.TrimSpace(data)
			if done = string(data) == engineapi.StreamEnd; !done {
				if err := decodeChunk(data, onChunk); err != nil {
					return err
				}
			}
		}
		switch {
		case readErr != nil && !done:
			return errStreamTruncated
		case readErr != nil:
			return nil
		}
	}
}

func decodeChunk(data []byte, onChunk ChunkFunc) error {
	var chunk engineapi.ChatChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return errChunkForm
	}
	return onChunk(chunk)
}
