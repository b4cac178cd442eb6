// Package request defines a caller's request and its answer, independently of the protocol that carries them.
package request

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

const (
	// MaxBodyBytes bounds the body of a request, in bytes.
	MaxBodyBytes = 1 << 20
	// MaxAnswerBytes bounds the body of an answer, in bytes. The body is held in memory until it is complete.
	MaxAnswerBytes = 4 << 20
)

// Header is one header field.
type Header struct {
	Name  string
	Value string
}

// Request is one attempt of a caller's request.
type Request struct {
	// ID identifies this attempt in the whole deployment. The target echoes it.
	ID         string
	Class      ident.ClassName
	Method     string
	Path       string
	Headers    []Header
	Body       []byte
	Deadline   time.Time
	Idempotent bool
	// Immediate requests are not queued: a cell without a free slot refuses them with NotRun and verdict.CodeBusy.
	Immediate bool
}

// Answer is the complete answer of a target.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
	Target  ident.TargetID
}
