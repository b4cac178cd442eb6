package jsontext

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against changing a text that is not nested too deeply, and against counting brackets in strings as nesting.
func TestPrune(t *testing.T) {
	for _, c := range [][2]string{
		{`{"a":[1,{"b":2}]}`, `{"a":[1,null]}`},
		{`{"a":[1,2],"b":"[[[[","c":"\\\"[["}`, `{"a":[1,2],"b":"[[[[","c":"\\\"[["}`},
		{`[[[[[[1]]]],2],[[]],3]`, `[[null,2],[null],3]`},
		{`[[{"a":"]}"},1`, `[[null,1`},
		{`[[[[`, `[[null`},
		{`]]]]`, `]]]]`},
		{``, ``},
	} {
		require.Equal(t, c[1], Prune(c[0], 2), c[0])
	}
}

// Guards against a valid text that becomes invalid when it is pruned, or that is still nested too deeply.
func FuzzPrune(f *testing.F) {
	f.Add(`{"a":[1,{"b":[[[]]]}],"c":"\"]"}`, 2)
	f.Add(strings.Repeat("[", 100), 16)
	f.Fuzz(func(t *testing.T, text string, depth int) {
		depth = 1 + max(depth, -depth, 0)%64
		pruned := Prune(text, depth)
		if json.Valid([]byte(text)) {
			require.True(t, json.Valid([]byte(pruned)), pruned)
			require.Equal(t, pruned, Prune(pruned, depth))
		}
	})
}
