package operatorhttp

import (
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"
)

// Role is the access level of a token. A higher role includes the lower ones.
type Role int

// Roles of a token. RoleNone is the role of an unknown token.
const (
	RoleNone Role = iota
	RoleReadOnly
	RoleEdit
)

// MinTokenBytes is the minimum length of a token, so that it cannot be guessed.
const MinTokenBytes = 16

// Tokens holds the SHA-256 digests of the accepted tokens with their roles.
type Tokens struct {
	entries []tokenEntry
}

type tokenEntry struct {
	digest [sha256.Size]byte
	role   Role
}

// NewTokens returns the set of the given tokens, or an error that names every token that is too short.
func NewTokens(readOnly, edit []string) (Tokens, error) {
	var (
		t      Tokens
		faults []error
	)
	add := func(name string, tokens []string, role Role) {
		for i, token := range tokens {
			if len(token) < MinTokenBytes {
				faults = append(faults, fmt.Errorf("%s token %d has %d characters; at least %d are needed",
					name, i+1, len(token), MinTokenBytes))
			}
			t.entries = append(t.entries, tokenEntry{sha256.Sum256([]byte(token)), role})
		}
	}
	add("read-only", readOnly, RoleReadOnly)
	add("edit", edit, RoleEdit)
	return t, errors.Join(faults...)
}

// roleOf returns the role of a token. It compares digests in constant time and always compares all entries, so that
// the response time reveals nothing about the accepted tokens.
func (t Tokens) roleOf(token string) Role {
	digest := sha256.Sum256([]byte(token))
	role := RoleNone
	for _, e := range t.entries {
		equal := subtle.ConstantTimeCompare(digest[:], e.digest[:])
		role = Role(subtle.ConstantTimeSelect(equal, max(int(e.role), int(role)), int(role)))
	}
	return role
}

var (
	errNoToken   = errors.New("a token is required: Authorization: Bearer <token>")
	errForbidden = errors.New("the token allows reading only")
)

// requireRole is middleware that rejects requests without a token of at least the given role.
func (h *Handler) requireRole(role Role) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			token, _ := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
			switch tokenRole := h.tokens.roleOf(token); {
			case tokenRole == RoleNone:
				c.Response().Header().Set(echo.HeaderWWWAuthenticate, `Bearer realm="operators"`)
				return errNoToken
			case tokenRole < role:
				return errForbidden
			default:
				return next(c)
			}
		}
	}
}

// Protect is middleware for other operator routes. GET and HEAD need a read-only token, all other methods an edit
// token.
func (h *Handler) Protect(next echo.HandlerFunc) echo.HandlerFunc {
	read, edit := h.withLimits(h.requireRole(RoleReadOnly)(next)), h.withLimits(h.requireRole(RoleEdit)(next))
	return func(c echo.Context) error {
		if m := c.Request().Method; m == http.MethodGet || m == http.MethodHead {
			return read(c)
		}
		return edit(c)
	}
}
