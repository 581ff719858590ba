package core

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
)

// Salt returns the cache salt of the scope. Distinct scopes have distinct salts
// because the encoding of their fields is unambiguous.
func (s CacheScope) Salt() string {
	// A JSON array preserves the field boundaries: ("a","bc") differs from ("ab","c").
	fields, err := json.Marshal([]string{string(s.Workspace), string(s.Model), string(s.Adapter), string(s.Version)})
	if err != nil {
		panic(err) // encoding a slice of strings cannot fail
	}
	sum := sha256.Sum256(fields)
	return hex.EncodeToString(sum[:16])
}

// BlockKeys returns the keys of the full blocks of a prompt for a salt, from the first
// block to the last. A partial block at the end has no key.
func BlockKeys(salt, prompt string) []BlockKey {
	n := len(prompt) / BlockBytes
	keys := make([]BlockKey, n)
	previous := sha256.Sum256([]byte(salt))
	buf := make([]byte, 0, sha256.Size+BlockBytes)
	for i := range n {
		buf = append(buf[:0], previous[:]...)
		buf = append(buf, prompt[i*BlockBytes:(i+1)*BlockBytes]...)
		previous = sha256.Sum256(buf)
		copy(keys[i][:], previous[:])
	}
	return keys
}

// String returns the key in hexadecimal.
func (k BlockKey) String() string { return hex.EncodeToString(k[:]) }

// ParseBlockKey parses the hexadecimal form of a key.
func ParseBlockKey(s string) (BlockKey, bool) {
	var k BlockKey
	raw, err := hex.DecodeString(s)
	if err != nil || len(raw) != len(k) {
		return k, false
	}
	copy(k[:], raw)
	return k, true
}
