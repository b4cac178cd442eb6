package ledger

import (
	"fmt"
	"regexp"
	"strconv"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// keyPattern is <version>.<host>.<incarnation>.<issue time in ms>.<128 random bits>, numbers in hexadecimal.
var keyPattern = regexp.MustCompile(`^k1\.([a-z0-9][a-z0-9-]{0,62})\.([0-9a-f]{1,16})\.([0-9a-f]{1,15})\.([0-9a-f]{32})$`)

// Key is an idempotency key. Only the instance that issued it, or the one that took its ledger over, may run a request
// under it.
type Key struct {
	Issuer   ident.Instance
	IssuedAt time.Time
	text     string
}

// ParseKey parses the external form of a key.
func ParseKey(s string) (Key, error) {
	m := keyPattern.FindStringSubmatch(s)
	if m == nil {
		return Key{}, fmt.Errorf("idempotency key %.80q was not issued by this service", s)
	}
	incarnation, err := strconv.ParseUint(m[2], 16, 64)
	if err != nil {
		return Key{}, fmt.Errorf("idempotency key: incarnation: %w", err)
	}
	ms, err := strconv.ParseInt(m[3], 16, 64)
	if err != nil {
		return Key{}, fmt.Errorf("idempotency key: issue time: %w", err)
	}
	return Key{
		Issuer:   ident.Instance{Host: ident.HostID(m[1]), Incarnation: ident.Incarnation(incarnation)},
		IssuedAt: time.UnixMilli(ms),
		text:     s,
	}, nil
}

// String returns the external form of the key.
func (k Key) String() string {
	return k.text
}

func newKey(issuer ident.Instance, now time.Time, random [16]byte) Key {
	ms := now.UnixMilli()
	return Key{
		Issuer:   issuer,
		IssuedAt: time.UnixMilli(ms),
		text:     fmt.Sprintf("k1.%s.%x.%x.%x", issuer.Host, uint64(issuer.Incarnation), ms, random[:]),
	}
}
