// Package jsontext prepares JSON texts that another writer may have made hard to read.
package jsontext

// Prune replaces arrays and objects below a depth by null. It returns body itself if there are none. Validators recurse once
// a level, so that a body of 8 MB of brackets exhausts the stack of the process, and encoding/json refuses a whole text for
// one value that is nested deeper than 10,000 levels.
func Prune(body string, most int) string {
	var (
		out    []byte
		depth  int
		copied int
		text   bool
	)
	for i := 0; i < len(body); i++ {
		switch b := body[i]; {
		case text:
			switch b {
			case '\\':
				i++
			case '"':
				text = false
			}
		case b == '"':
			text = true
		case b == '[' || b == '{':
			depth++
			if depth == most+1 {
				out = append(append(out, body[copied:i]...), "null"...)
			}
		case b == ']' || b == '}':
			if depth == most+1 {
				copied = i + 1
			}
			depth--
		}
	}
	switch {
	case out == nil:
		return body
	case depth > most:
		// The text ends within the part that is left out.
		return string(out)
	default:
		return string(append(out, body[copied:]...))
	}
}
