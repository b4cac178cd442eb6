// Package jsonlist decodes JSON arrays of bounded length. An element of a few bytes may decode to hundreds, so that an array
// of legal size could otherwise take a hundred times its size in memory.
package jsonlist

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Decode decodes the array in data, of at most limit elements. strict makes unknown fields errors.
func Decode[T any](data []byte, limit int, strict bool) ([]T, error) {
	if bytes.Equal(bytes.TrimSpace(data), []byte("null")) {
		return nil, nil
	}
	d := json.NewDecoder(bytes.NewReader(data))
	if strict {
		d.DisallowUnknownFields()
	}
	start, err := d.Token()
	if err != nil {
		return nil, err
	}
	if start != json.Delim('[') {
		return nil, fmt.Errorf("want an array, not %v", start)
	}
	out := []T{}
	for d.More() {
		if len(out) == limit {
			return nil, fmt.Errorf("more than %d elements", limit)
		}
		var element T
		if err := d.Decode(&element); err != nil {
			return nil, err
		}
		out = append(out, element)
	}
	return out, nil
}
