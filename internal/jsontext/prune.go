// Package jsontext makes JSON texts from untrusted sources safe to decode.
package jsontext

// Prune replaces arrays and objects that are nested deeper than maxDepth by null. It returns body itself if there are
// none. Validators recurse once per level, so that 8 MB of brackets exhaust the stack of the process, and encoding/json
// rejects a whole text if one value is nested deeper than 10,000 levels.
func Prune(body string, maxDepth int) string {
	var (
		out        []byte
		depth      int
		copiedUpTo int
		inString   bool
	)
	for i := 0; i < len(body); i++ {
		switch b := body[i]; {
		case inString:
			switch b {
			case '\\':
				i++
			case '"':
				inString = false
			}
		case b == '"':
			inString = true
		case b == '[' || b == '{':
			depth++
			if depth == maxDepth+1 {
				out = append(append(out, body[copiedUpTo:i]...), "null"...)
			}
		case b == ']' || b == '}':
			if depth == maxDepth+1 {
				copiedUpTo = i + 1
			}
			depth--
		}
	}
	switch {
	case out == nil:
		return body
	case depth > maxDepth:
		// The text ends within a value that is left out.
		return string(out)
	default:
		return string(append(out, body[copiedUpTo:]...))
	}
}
