package bundle

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/token"

	"waxwingtide.example/waxwingtide/errs"
)

// MaxBytes is the largest accepted bundle document in bytes. A bundle of
// 10,000 upstreams and 3,400 workspaces takes about 3 MB.
const MaxBytes = 8 << 20

// maxFlowDepth bounds nested brackets, which the YAML parser handles by
// recursion.
const maxFlowDepth = 32

// Parse reads one YAML document with the fields of Bundle and validates it.
// Unknown and duplicate keys, further documents, anchors and aliases are
// refused. Errors have the kind Invalid; those of Validate wrap Faults.
func Parse(body []byte) (*Bundle, error) {
	b, err := decode(body)
	if err != nil {
		return nil, err
	}
	if err := b.Validate(); err != nil {
		return nil, err
	}
	return b, nil
}

func decode(body []byte) (*Bundle, error) {
	if len(body) > MaxBytes {
		return nil, errs.New(errs.Invalid, "split the deployment or shorten identifiers",
			"bundle has %d bytes, more than %d", len(body), MaxBytes)
	}
	if err := checkTokens(body); err != nil {
		return nil, err
	}
	return decodeYAML(body)
}

func decodeYAML(body []byte) (b *Bundle, err error) {
	defer func() {
		// A malformed document must not end the process, even where it makes the
		// YAML library panic.
		if cause := recover(); cause != nil {
			b = nil
			err = errs.New(errs.Invalid, "write plain YAML with the fields of a bundle", "bundle cannot be read: %v", cause)
		}
	}()
	decoder := yaml.NewDecoder(bytes.NewReader(body), yaml.Strict())
	b = new(Bundle)
	err = decoder.Decode(b)
	if errors.Is(err, io.EOF) {
		return nil, errs.New(errs.Invalid, "write a bundle with version, models, upstreams and workspaces", "bundle is empty")
	}
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "correct the YAML at the marked place", "bundle cannot be read")
	}
	var rest any
	if err := decoder.Decode(&rest); !errors.Is(err, io.EOF) {
		return nil, errs.New(errs.Invalid, "keep one document in the file", "bundle has more than one YAML document")
	}
	return b, nil
}

// checkTokens refuses what could make a small document expensive to decode:
// aliases, which multiply content, and deeply nested brackets. It also refuses
// tags, on which the YAML library can fail with a nil pointer.
func checkTokens(body []byte) error {
	depth := 0
	for _, t := range lexer.Tokenize(string(body)) {
		switch t.Type {
		case token.AnchorType, token.AliasType, token.MergeKeyType, token.TagType:
			return errs.New(errs.Invalid, "write the plain value out at each place",
				"bundle uses a YAML anchor, alias, merge key or tag in line %d", t.Position.Line)
		case token.SequenceStartType, token.MappingStartType:
			depth++
		case token.SequenceEndType, token.MappingEndType:
			depth--
		}
		if depth > maxFlowDepth {
			return errs.New(errs.Invalid, "use the fields of a bundle only",
				"bundle nests more than %d brackets in line %d", maxFlowDepth, t.Position.Line)
		}
	}
	return nil
}

// Encode returns the bundle as YAML for people. Parse of the result gives an
// equal bundle.
func (b *Bundle) Encode() ([]byte, error) {
	body, err := yaml.Marshal(b)
	return body, errs.Wrap(err, errs.Internal, "report this as a defect", "bundle cannot be encoded")
}

// Canonical returns the bundle as the JSON body that is stored under its
// digest. Every process decodes each accepted bundle, and decoding JSON takes a
// small part of the time and memory of strict YAML.
func (b *Bundle) Canonical() ([]byte, error) {
	body, err := json.Marshal(b)
	return body, errs.Wrap(err, errs.Internal, "report this as a defect", "bundle cannot be encoded")
}

// Decode reads a body that Canonical wrote and checks it against its digest.
// Errors have the kind Corrupt. A body with the right digest was validated
// before it was stored, so it is not validated again.
func Decode(body []byte, digest string) (*Bundle, error) {
	const remedy = "sign off a valid bundle again"
	if found := Digest(body); found != digest {
		return nil, errs.New(errs.Corrupt, remedy, "bundle body has digest %s, not %s", found, digest)
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	b := new(Bundle)
	if err := decoder.Decode(b); err != nil {
		return nil, errs.Wrap(err, errs.Corrupt, remedy, "bundle body cannot be read")
	}
	return b, nil
}

// Digest returns the SHA-256 of a bundle body in lower-case hexadecimal.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
