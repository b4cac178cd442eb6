package tablecsv

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

const sample = `name,kind,idempotent,tenant,weight,rate (1/s),concurrency,queue,deadline (ms),processors (processors),memory (MB),accelerators,retries,evictions
api,latency-critical,yes,web,2,12.5,40,100,250,0,0,0,2,3
nightly,batch,no,data,1,0,0,0,0,1.5,2048,1,5,0
`

// Guards against a table that changes when it is written and read again.
func TestRoundTrip(t *testing.T) {
	rows, err := Decode(strings.NewReader(sample))
	require.NoError(t, err)
	require.Equal(t, table.Row{
		Name: "nightly", Kind: table.Batch, Tenant: "data", Weight: 1, Retries: 5,
		Resources: resource.Vector{MilliCPU: 1500, MemoryMB: 2048, Accelerators: 1},
	}, rows[1])
	require.Equal(t, 250*time.Millisecond, rows[0].Deadline)
	var out bytes.Buffer
	require.NoError(t, Encode(&out, rows))
	require.Equal(t, sample, out.String())
}

// Guards against rejecting what spreadsheets write: CRLF, byte order mark, quotes, empty trailing rows and cells, and
// semicolons or tabs as separators.
func TestSpreadsheetOutputIsAccepted(t *testing.T) {
	want, err := Decode(strings.NewReader(sample))
	require.NoError(t, err)
	lines := strings.Split(strings.TrimSpace(sample), "\n")
	for i := range lines {
		lines[i] = `"` + strings.ReplaceAll(lines[i], ",", `","`) + `",,`
	}
	text := "\ufeff" + strings.Join(lines, "\r\n") + "\r\n" + strings.Repeat(",", 15) + "\r\n\r\n , \r\n"
	got, err := Decode(strings.NewReader(text))
	require.NoError(t, err)
	require.Equal(t, want, got)
	for _, sep := range []string{";", "\t"} {
		got, err = Decode(strings.NewReader(strings.ReplaceAll(sample, ",", sep)))
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
}

// Guards against a report that stops at the first fault, or names the wrong line or column.
func TestAllFaultsAreReportedWithLineAndColumn(t *testing.T) {
	_, err := Decode(strings.NewReader("name,kind,tenant,rate,deadline\n" +
		"\"api\",latency-critical,web,\"1,5\",0\n\n" +
		"b,urgent,,x,0,7\n" +
		"API,batch,web,1,1\n"))
	require.Equal(t, []string{
		`line 2, column rate: "1,5" has a comma; write a decimal point and no thousands separator`,
		`line 2, column deadline: is 0; a latency-critical class needs a deadline`,
		`line 4, column kind: "urgent" is not latency-critical or batch`,
		`line 4, column tenant: is blank; a value is required`,
		`line 4, column rate: "x" is not a number`,
		`line 4: cell 6 has a value but no column name above it`,
		`line 5, column name: "API" is the name of an earlier row; letter case does not count`,
	}, strings.Split(err.Error(), "\n"))
}

// Guards against reading numbers in the wrong unit, and against accepting input that is malformed or exceeds the
// bounds.
func TestInvalidInputIsRefused(t *testing.T) {
	for text, want := range map[string]string{
		"":                              "no header line",
		"name,kind,tenant,deadline (s)": `column deadline is in "ms", not in "s"`,
		"name,kind,tenant,wieght":       `unknown column "wieght"`,
		"name,kind":                     "column tenant: the column is missing",
		"name,name,kind,tenant":         "the column appears twice",
		"name,kind,tenant\n\"a,batch,x": "extraneous or missing",
		"name\xff":                      "not UTF-8",
		strings.Repeat("x", MaxBytes+1): "larger than",
		"name,kind,tenant\n" + strings.Repeat("a,batch,x\n", table.MaxRows+1):   "more than 2000 rows",
		"name,kind,tenant\n" + strings.Repeat("a", MaxCellBytes+1) + ",batch,x": "the cell is larger",
	} {
		rows, err := Decode(strings.NewReader(text))
		require.ErrorContains(t, err, want)
		require.Nil(t, rows)
	}
}

// Guards against input that causes a panic, or that is accepted but changes when it is written and read again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte("\ufeffname;kind;tenant\r\n\"a\";batch;t\r\n;;\r\n"))
	f.Add([]byte("name,kind,tenant,rate\na,batch,t,\"1,5\"\n"))
	f.Add([]byte("name,kind,tenant\n\"a,batch"))
	f.Fuzz(func(t *testing.T, data []byte) {
		rows, err := Decode(bytes.NewReader(data))
		if err != nil {
			require.Nil(t, rows)
			return
		}
		require.Empty(t, table.Validate(rows))
		var out bytes.Buffer
		require.NoError(t, Encode(&out, rows))
		again, err := Decode(&out)
		require.NoError(t, err)
		require.Equal(t, rows, again)
	})
}
