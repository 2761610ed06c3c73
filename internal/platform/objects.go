package platform

import (
	"context"
	"net/http"
	"net/url"
	"strings"
)

const contentTypeBytes = "application/octet-stream"

// httpObjects is the HTTP client of ObjectStore.
type httpObjects struct{ transport *transport }

func (o *httpObjects) Put(ctx context.Context, key string, value []byte) error {
	if value == nil {
		value = []byte{}
	}
	_, err := o.do(ctx, call{method: http.MethodPut, path: objectPath(key), contentType: contentTypeBytes, body: value, effect: writes})
	return err
}

func (o *httpObjects) Get(ctx context.Context, key string) ([]byte, error) {
	got, err := o.do(ctx, call{method: http.MethodGet, path: objectPath(key), effect: reads})
	return got.body, err
}

func (o *httpObjects) Delete(ctx context.Context, key string) error {
	_, err := o.do(ctx, call{method: http.MethodDelete, path: objectPath(key), effect: writes})
	return err
}

func (o *httpObjects) do(ctx context.Context, c call) (reply, error) {
	got, err := o.transport.do(ctx, c)
	if err != nil {
		return reply{}, err
	}
	if got.status >= minNonSuccessStatus {
		return reply{}, statusError(got, c)
	}
	return got, nil
}

// objectPath returns the path of an object. It escapes the segments of the key and
// keeps the slashes between them.
func objectPath(key string) string {
	parts := strings.Split(key, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return PathObjects + strings.Join(parts, "/")
}
