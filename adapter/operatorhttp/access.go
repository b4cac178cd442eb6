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

// Role is what a token allows. A higher role includes the lower ones.
type Role int

// The roles.
const (
	RoleNone Role = iota
	RoleReadOnly
	RoleEdit
)

// MinTokenBytes keeps tokens from being guessed.
const MinTokenBytes = 16

// Tokens holds the digests of the accepted tokens.
type Tokens struct {
	entries []tokenEntry
}

type tokenEntry struct {
	digest [sha256.Size]byte
	role   Role
}

// NewTokens returns the tokens of each role, or every fault of the lists.
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

// role returns the role of a token. Digests of equal length are compared in constant time, and every entry is compared,
// so that the time does not tell which token was nearly right.
func (t Tokens) role(token string) Role {
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
	errForbidden = errors.New("the token is for reading only")
)

// require refuses requests without a token of the role.
func (h *Handler) require(role Role) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			token, _ := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
			switch has := h.tokens.role(token); {
			case has == RoleNone:
				c.Response().Header().Set(echo.HeaderWWWAuthenticate, `Bearer realm="operators"`)
				return errNoToken
			case has < role:
				return errForbidden
			default:
				return next(c)
			}
		}
	}
}

// Protect is middleware for other routes of operators: reading needs a read-only token, everything else an edit token.
func (h *Handler) Protect(next echo.HandlerFunc) echo.HandlerFunc {
	read, edit := h.limit(h.require(RoleReadOnly)(next)), h.limit(h.require(RoleEdit)(next))
	return func(c echo.Context) error {
		if m := c.Request().Method; m == http.MethodGet || m == http.MethodHead {
			return read(c)
		}
		return edit(c)
	}
}
