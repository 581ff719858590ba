// Package cachestore is the client for kept-cache stores. The types in this
// file are the bodies of the store's HTTP interface: pieces are raw bytes under
// /v1/pieces/{scope}/{key}, manifests are JSON under /v1/manifests/{scope}/{key}.
// A full store responds with status 507. Kept cache is KV cache that was exported
// from an engine.
package cachestore

// Piece describes one stored cache block.
type Piece struct {
	Key string `json:"key"`
	// SHA256 is the checksum of the piece's bytes in hexadecimal.
	SHA256 string `json:"sha256"`
	Bytes  int    `json:"bytes"`
}

// Manifest lists the pieces of one prompt prefix in prompt order. It is
// written after all its pieces and stored under the key of the last piece.
type Manifest struct {
	Scope  string  `json:"scope"`
	Pieces []Piece `json:"pieces"`
}

// LookupRequest requests the manifest of the first key that has one. It is the
// body of POST /v1/manifests/{scope}/lookup. Status 404 means that none of the
// keys has a manifest.
type LookupRequest struct {
	Keys []string `json:"keys"`
}
