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
)

// Limits on what is read from a store, in bytes.
const (
	maxPieceBytes    = 64 << 20
	maxManifestBytes = 4 << 20
	maxProblemBytes  = 512
)

const (
	remedyRecompute = "recompute the prompt or use another store"
	remedyDelete    = "delete the manifest and recompute the prompt"
)

// Options configures a client.
type Options struct {
	// BaseURL is the store's address, for example "http://127.0.0.1:9100".
	BaseURL string
	// HTTP performs the requests; nil means http.DefaultClient.
	HTTPClient *http.Client
}

// Client talks to one kept-cache store. It is safe for concurrent use. All
// operations are idempotent, so a lost answer is safe to repeat.
//
// Its errors have these kinds: NotFound, Exhausted when the store is full,
// Corrupt when content fails a check, Invalid when the store refuses the
// request, and Unavailable otherwise.
type Client struct {
	base string
	http *http.Client
}

// New returns a client for the store at the base URL.
func New(o Options) *Client {
	if o.HTTPClient == nil {
		o.HTTPClient = http.DefaultClient
	}
	return &Client{base: strings.TrimRight(o.BaseURL, "/"), http: o.HTTPClient}
}

// PutPiece writes one piece and returns its entry for the manifest.
func (c *Client) PutPiece(ctx context.Context, scope, key string, data []byte) (Piece, error) {
	if len(data) > maxPieceBytes {
		return Piece{}, errs.New(errs.Invalid, "use smaller blocks", "piece %s exceeds %d bytes", key, maxPieceBytes)
	}
	sum := sha256.Sum256(data)
	piece := Piece{Key: key, SHA256: hex.EncodeToString(sum[:]), Bytes: len(data)}
	_, err := c.call(ctx, http.MethodPut, path("pieces", scope, key), data, 0)
	return piece, err
}

// PutManifest writes a manifest. All its pieces must have been written before.
func (c *Client) PutManifest(ctx context.Context, m Manifest) error {
	if len(m.Pieces) == 0 {
		return errs.New(errs.Invalid, "export at least one block", "manifest has no pieces")
	}
	body, err := json.Marshal(m)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "report this as a defect", "manifest cannot be encoded")
	}
	_, err = c.call(ctx, http.MethodPut, path("manifests", m.Scope, m.key()), body, 0)
	return err
}

// key is the key of the last piece.
func (m Manifest) key() string { return m.Pieces[len(m.Pieces)-1].Key }

// LookupManifest returns the manifest of the first of the keys that has one. The keys
// are those of one prompt, longest prefix first.
func (c *Client) LookupManifest(ctx context.Context, scope string, keys []string) (Manifest, error) {
	request, err := json.Marshal(LookupRequest{Keys: keys})
	if err != nil {
		return Manifest{}, errs.Wrap(err, errs.Internal, "report this as a defect", "lookup cannot be encoded")
	}
	body, err := c.call(ctx, http.MethodPost, path("manifests", scope, "lookup"), request, maxManifestBytes)
	if err != nil {
		return Manifest{}, err
	}
	var m Manifest
	if err := json.Unmarshal(body, &m); err != nil {
		return Manifest{}, errs.Wrap(err, errs.Corrupt, remedyDelete, "manifest is malformed")
	}
	return m, m.check(scope, keys)
}

// check guards against a manifest of another scope or prompt.
func (m Manifest) check(scope string, keys []string) error {
	if m.Scope != scope {
		return errs.New(errs.Corrupt, remedyDelete, "manifest belongs to scope %q, not %q", m.Scope, scope)
	}
	n := len(m.Pieces)
	if n == 0 || n > len(keys) {
		return errs.New(errs.Corrupt, remedyDelete, "manifest has %d pieces for a prompt of %d blocks", n, len(keys))
	}
	prefix := slices.Clone(keys[len(keys)-n:])
	slices.Reverse(prefix)
	for i, piece := range m.Pieces {
		if piece.Key != prefix[i] {
			return errs.New(errs.Corrupt, remedyDelete, "manifest piece %d is not part of the prompt", i)
		}
		if piece.Bytes < 1 || piece.Bytes > maxPieceBytes {
			return errs.New(errs.Corrupt, remedyDelete, "manifest piece %d has %d bytes", i, piece.Bytes)
		}
	}
	return nil
}

// FetchPiece reads a piece and checks its length and checksum.
func (c *Client) FetchPiece(ctx context.Context, scope string, piece Piece) ([]byte, error) {
	data, err := c.call(ctx, http.MethodGet, path("pieces", scope, piece.Key), nil, int64(piece.Bytes))
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(data)
	if len(data) != piece.Bytes || hex.EncodeToString(sum[:]) != piece.SHA256 {
		return nil, errs.New(errs.Corrupt, remedyDelete, "piece %s fails its checksum", piece.Key)
	}
	return data, nil
}

// DeleteManifest removes a manifest, so that its pieces are no longer found.
func (c *Client) DeleteManifest(ctx context.Context, scope, key string) error {
	_, err := c.call(ctx, http.MethodDelete, path("manifests", scope, key), nil, 0)
	return err
}

// DeletePiece removes a piece. Manifests that list it must be deleted before.
func (c *Client) DeletePiece(ctx context.Context, scope, key string) error {
	_, err := c.call(ctx, http.MethodDelete, path("pieces", scope, key), nil, 0)
	return err
}

func path(kind, scope, key string) string {
	return "/v1/" + kind + "/" + url.PathEscape(scope) + "/" + url.PathEscape(key)
}

// call performs a request and returns at most limit bytes of the answer.
func (c *Client) call(ctx context.Context, method, path string, body []byte, limit int64) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "correct the store's address", "request cannot be built")
	}
	resp, err := c.http.Do(request)
	if err != nil {
		return nil, errs.Wrap(err, errs.Unavailable, remedyRecompute, "kept-cache store does not answer")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		return nil, statusError(resp)
	}
	size := min(max(resp.ContentLength, 0), limit)
	answer := bytes.NewBuffer(make([]byte, 0, size+bytes.MinRead))
	_, err = answer.ReadFrom(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, errs.Wrap(err, errs.Unavailable, remedyRecompute, "kept-cache store's answer was cut")
	}
	if int64(answer.Len()) > limit {
		return nil, errs.New(errs.Corrupt, remedyDelete, "kept-cache store's answer exceeds %d bytes", limit)
	}
	return answer.Bytes(), nil
}

func statusError(resp *http.Response) error {
	kind := errs.Unavailable
	switch {
	case resp.StatusCode == http.StatusNotFound:
		kind = errs.NotFound
	case resp.StatusCode == http.StatusInsufficientStorage:
		kind = errs.Exhausted
	case resp.StatusCode/100 == 4:
		kind = errs.Invalid
	}
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxProblemBytes))
	return errs.New(kind, remedyRecompute, "kept-cache store answered %d: %s", resp.StatusCode, strings.TrimSpace(string(text)))
}
