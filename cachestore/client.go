package cachestore

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/httplimit"
)

// Maximum sizes in bytes. maxPieceBytes also limits the pieces that are written. A manifest
// has at most maxManifestBytes, and maxManifestPieceBytes for each key of its prompt beside
// the keys and the scope.
const (
	maxPieceBytes         = 64 << 20
	maxManifestBytes      = 4 << 20
	maxManifestPieceBytes = 256
	maxErrorTextBytes     = 512
)

const (
	remedyRecompute      = "recompute the prompt or use another store"
	remedyDeleteManifest = "delete the manifest and recompute the prompt"
)

// Options configures a client.
type Options struct {
	// BaseURL is the address of the store, for example "http://127.0.0.1:9100".
	BaseURL string
	// HTTPClient sends the requests. The default is httplimit.NewClient.
	HTTPClient *http.Client
}

// Client sends requests to one kept-cache store. It is safe for concurrent use. All
// operations are idempotent, so a request can be repeated if its response was lost.
//
// Errors have the kind NotFound if the object does not exist, Exhausted if the
// store is full, Corrupt if content fails a check, Invalid if the client or the
// store rejects the request, Internal if the request cannot be encoded, and
// Unavailable in all other cases.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// New returns a client for the store at the base URL. It sends nothing.
func New(o Options) *Client {
	if o.HTTPClient == nil {
		o.HTTPClient = httplimit.NewClient()
	}
	return &Client{baseURL: strings.TrimRight(o.BaseURL, "/"), httpClient: o.HTTPClient}
}

// PutPiece writes one piece and returns its description for the manifest.
func (c *Client) PutPiece(ctx context.Context, scope, key string, data []byte) (Piece, error) {
	if len(data) > maxPieceBytes {
		return Piece{}, errs.New(errs.Invalid, "use smaller blocks", "piece %s exceeds %d bytes", key, maxPieceBytes)
	}
	sum := sha256.Sum256(data)
	piece := Piece{Key: key, SHA256: hex.EncodeToString(sum[:]), Bytes: len(data)}
	_, err := c.do(ctx, http.MethodPut, resourcePath("pieces", scope, key), data, 0)
	return piece, err
}

// PutManifest writes a manifest. The caller must have written all its pieces.
func (c *Client) PutManifest(ctx context.Context, m Manifest) error {
	if len(m.Pieces) == 0 {
		return errs.New(errs.Invalid, "export at least one block", "manifest without pieces cannot be written")
	}
	body, err := json.Marshal(m)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "report this as a defect", "manifest cannot be encoded")
	}
	_, err = c.do(ctx, http.MethodPut, resourcePath("manifests", m.Scope, m.key()), body, 0)
	return err
}

// key returns the key under which the manifest is stored. The manifest must have
// at least one piece.
func (m Manifest) key() string { return m.Pieces[len(m.Pieces)-1].Key }

// LookupManifest returns the manifest of the first key that has one. The keys are
// those of the prefixes of one prompt, longest prefix first.
func (c *Client) LookupManifest(ctx context.Context, scope string, keys []string) (Manifest, error) {
	request, err := json.Marshal(LookupRequest{Keys: keys})
	if err != nil {
		return Manifest{}, errs.Wrap(err, errs.Internal, "report this as a defect", "lookup request cannot be encoded")
	}
	body, err := c.do(ctx, http.MethodPost, resourcePath("manifests", scope, "lookup"), request, manifestLimit(scope, keys))
	if err != nil {
		return Manifest{}, err
	}
	var m Manifest
	if err := json.Unmarshal(body, &m); err != nil {
		return Manifest{}, errs.Wrap(err, errs.Corrupt, remedyDeleteManifest, "manifest is malformed")
	}
	if err := m.validate(scope, keys); err != nil {
		return Manifest{}, err
	}
	return m, nil
}

// manifestLimit returns the maximum size in bytes of a manifest of a prompt with these
// keys. A faulty store could fill a larger one with many small pieces, which take many
// times their size when they are decoded.
func manifestLimit(scope string, keys []string) int64 {
	limit := len(scope) + maxManifestPieceBytes
	for _, key := range keys {
		limit += len(key) + maxManifestPieceBytes
	}
	return int64(min(limit, maxManifestBytes))
}

// validate checks that a manifest is of the scope and describes a prefix of the
// prompt with these keys, and that its pieces have a valid size.
func (m Manifest) validate(scope string, keys []string) error {
	if m.Scope != scope {
		return errs.New(errs.Corrupt, remedyDeleteManifest, "manifest belongs to scope %q, not %q", m.Scope, scope)
	}
	n := len(m.Pieces)
	if n == 0 || n > len(keys) {
		return errs.New(errs.Corrupt, remedyDeleteManifest, "manifest has %d pieces for a prompt of %d blocks", n, len(keys))
	}
	prefix := slices.Clone(keys[len(keys)-n:])
	slices.Reverse(prefix)
	for i, piece := range m.Pieces {
		if piece.Key != prefix[i] {
			return errs.New(errs.Corrupt, remedyDeleteManifest, "manifest piece %d does not match the prompt", i)
		}
		if piece.Bytes < 1 || piece.Bytes > maxPieceBytes {
			return errs.New(errs.Corrupt, remedyDeleteManifest, "manifest piece %d has %d bytes", i, piece.Bytes)
		}
	}
	return nil
}

// FetchPiece reads the content of a piece and checks its length and checksum.
func (c *Client) FetchPiece(ctx context.Context, scope string, piece Piece) ([]byte, error) {
	data, err := c.do(ctx, http.MethodGet, resourcePath("pieces", scope, piece.Key), nil, int64(piece.Bytes))
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(data)
	if len(data) != piece.Bytes || hex.EncodeToString(sum[:]) != piece.SHA256 {
		return nil, errs.New(errs.Corrupt, remedyDeleteManifest, "piece %s has a wrong length or checksum", piece.Key)
	}
	return data, nil
}

// DeleteManifest removes a manifest. LookupManifest no longer returns it.
func (c *Client) DeleteManifest(ctx context.Context, scope, key string) error {
	_, err := c.do(ctx, http.MethodDelete, resourcePath("manifests", scope, key), nil, 0)
	return err
}

// DeletePiece removes a piece. The caller must have deleted all manifests that
// contain it.
func (c *Client) DeletePiece(ctx context.Context, scope, key string) error {
	_, err := c.do(ctx, http.MethodDelete, resourcePath("pieces", scope, key), nil, 0)
	return err
}

func resourcePath(kind, scope, key string) string {
	return "/v1/" + kind + "/" + url.PathEscape(scope) + "/" + url.PathEscape(key)
}

// do sends a request and returns the body of the response. A body of more than
// limit bytes is an error.
func (c *Client) do(ctx context.Context, method, path string, body []byte, limit int64) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "correct the address of the kept-cache store", "request to kept-cache store cannot be built")
	}
	response, err := httplimit.Do(c.httpClient, request)
	if err != nil {
		return nil, errs.Wrap(err, errs.Unavailable, remedyRecompute, "kept-cache store gave no valid response")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode/100 != 2 {
		return nil, statusError(response)
	}
	size := min(max(response.ContentLength, 0), limit)
	responseBody := bytes.NewBuffer(make([]byte, 0, size+bytes.MinRead))
	_, err = responseBody.ReadFrom(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, errs.Wrap(err, errs.Unavailable, remedyRecompute, "response of kept-cache store was truncated")
	}
	if int64(responseBody.Len()) > limit {
		return nil, errs.New(errs.Corrupt, remedyDeleteManifest, "response of kept-cache store exceeds %d bytes", limit)
	}
	return responseBody.Bytes(), nil
}

func statusError(response *http.Response) error {
	kind := errs.Unavailable
	switch {
	case response.StatusCode == http.StatusNotFound:
		kind = errs.NotFound
	case response.StatusCode == http.StatusInsufficientStorage:
		kind = errs.Exhausted
	case response.StatusCode/100 == 4:
		kind = errs.Invalid
	}
	message, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorTextBytes))
	return errs.New(kind, remedyRecompute, "kept-cache store responded with status %d: %s", response.StatusCode, strings.TrimSpace(string(message)))
}
