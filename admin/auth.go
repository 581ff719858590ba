package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"waxwingtide.example/waxwingtide/errs"
)

// Role is what an operator may do. A higher role includes the lower ones.
type Role uint8

// Roles.
const (
	RoleViewer Role = iota + 1
	RoleOperator
	RoleSigner
)

var roleNames = map[Role]string{RoleViewer: "viewer", RoleOperator: "operator", RoleSigner: "signer"}

// String returns the name of the role as used in settings.
func (r Role) String() string { return roleNames[r] }

// ParseRole returns the role of that name, or an error of kind Invalid.
func ParseRole(name string) (Role, error) {
	for role, known := range roleNames {
		if known == name {
			return role, nil
		}
	}
	return 0, errs.New(errs.Invalid, "use viewer, operator or signer", "there is no role %q", name)
}

// Token allows the holder of a bearer token to act in a role.
type Token struct {
	// Name appears in the audit trail.
	Name string
	Role Role
	// SHA256 is the hash of the token in hexadecimal.
	SHA256 string
}

// identity is the operator behind a request.
type identity struct {
	name string
	role Role
}

type tokenHash struct {
	identity identity
	sum      [sha256.Size]byte
}

func parseTokens(tokens []Token) ([]tokenHash, error) {
	out := make([]tokenHash, len(tokens))
	for i, t := range tokens {
		raw, err := hex.DecodeString(t.SHA256)
		if err != nil || len(raw) != sha256.Size {
			return nil, errs.New(errs.Invalid, "write the SHA-256 of the token as 64 hexadecimal digits", "hash of token %q is malformed", t.Name)
		}
		if t.Name == "" || roleNames[t.Role] == "" {
			return nil, errs.New(errs.Invalid, "give each token a name and a role", "token %d has no name or role", i)
		}
		out[i].identity = identity{t.Name, t.Role}
		copy(out[i].sum[:], raw)
	}
	return out, nil
}

// authenticate compares the request's token with every known one in constant
// time, so that the duration tells nothing about the tokens.
func (s *Server) authenticate(r *http.Request, need Role) (identity, error) {
	const remedy = "send Authorization: Bearer with a known token"
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return identity{}, errs.New(errs.Unauthenticated, remedy, "request carries no bearer token")
	}
	sum := sha256.Sum256([]byte(token))
	var found identity
	for _, t := range s.tokens {
		if subtle.ConstantTimeCompare(sum[:], t.sum[:]) == 1 {
			found = t.identity
		}
	}
	if found.role == 0 {
		return found, errs.New(errs.Unauthenticated, remedy, "bearer token is not known")
	}
	if found.role < need {
		return found, errs.New(errs.Forbidden, "use a token with the role "+need.String(), "role %s of %q does not allow this", found.role, found.name)
	}
	return found, nil
}
