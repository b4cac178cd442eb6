package table

import (
	"fmt"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

func sampleRow(name string) Row {
	return Row{
		Name: ident.ClassName(name), Kind: LatencyCritical, Tenant: "web", Weight: 2, Rate: 12.5, Concurrency: 40,
		Queue: 100, Deadline: 250 * time.Millisecond, Retries: 2, Evictions: 3,
	}
}

// Guards against a validation that stops at the first fault, which would make operators fix one fault at a time.
func TestValidateReportsEveryFault(t *testing.T) {
	bad := sampleRow("bad name")
	bad.Kind, bad.Weight, bad.Rate = "urgent", 0, math.NaN()
	late := sampleRow("late")
	late.Deadline = 0
	rows := []Row{sampleRow("api"), bad, late, sampleRow("API")}
	var positions []string
	for _, f := range Validate(rows) {
		positions = append(positions, fmt.Sprintf("%d %s", f.Row, f.Column))
	}
	require.Equal(t, []string{"2 name", "2 kind", "2 weight", "2 rate", "3 deadline", "4 name"}, positions)
	require.Empty(t, Validate([]Row{sampleRow("api")}))
	require.NotEmpty(t, Validate(make([]Row, MaxRows+1)))
}

// Guards against a number that a spreadsheet writes in another notation being read as a different number.
func TestColumnSetRefusesOtherNotations(t *testing.T) {
	for _, text := range []string{"1,5", "1.000,5", "1e3", "NaN", "Inf", "0x10", "1 000", "--1", "1.2.3", "-1", "1.2345", ""} {
		c, _ := FindColumn(ColRate)
		r := Row{}
		err := c.Set(&r, text)
		if text == "" {
			require.NoError(t, err)
			continue
		}
		require.Error(t, err, text)
		require.Zero(t, r)
	}
	c, _ := FindColumn(ColIdempotent)
	r := Row{}
	require.NoError(t, c.Set(&r, "TRUE"))
	require.True(t, r.Idempotent)
}

// Guards against a default that its own column refuses.
func TestDefaultsAreValid(t *testing.T) {
	for _, c := range Columns() {
		r := Row{}
		require.Equal(t, c.Required, c.Set(&r, "") != nil, c.Name)
		require.NotEmpty(t, c.Effect)
	}
}

// Guards against limits beyond the capacity of the fleet being accepted without a warning.
func TestFindWarningsOfLimitsBeyondTheFleet(t *testing.T) {
	r := sampleRow("api")
	r.Resources = resource.Vector{MilliCPU: 5000, MemoryMB: 10, Accelerators: 1}
	r.Rate = 0.5
	heavy := sampleRow("heavy")
	heavy.Tenant, heavy.Weight, heavy.Concurrency = "bulk", 100, 4
	warnings := FindWarnings([]Row{r, heavy}, Capacity{
		Workers: resource.Vector{MilliCPU: 4000, MemoryMB: 20}, TargetSlots: 32, Cells: 9,
	})
	var positions []string
	for _, w := range warnings {
		positions = append(positions, string(w.Name)+" "+string(w.Column))
	}
	require.Equal(t, []string{
		"api processors", "api concurrency", "api rate", "api concurrency", "api queue", "heavy concurrency", "heavy queue", "api accelerators", " weight",
	}, positions)
}

// Guards against limits that contradict each other, and entries that never have an effect, being found only in operation.
func TestFindWarningsOfConflictingLimits(t *testing.T) {
	consistent := Row{Name: "a", Kind: LatencyCritical, Tenant: "web", Weight: 1, Rate: 100, Concurrency: 50, Queue: 50, Deadline: 500 * time.Millisecond}
	require.Empty(t, FindWarnings([]Row{consistent}, Capacity{}))
	for name, change := range map[string]func(r *Row){
		"concurrency": func(r *Row) { r.Concurrency = 51 },
		"queue":       func(r *Row) { r.Queue = 51 },
	} {
		r := consistent
		change(&r)
		warnings := FindWarnings([]Row{r}, Capacity{})
		require.Len(t, warnings, 1, name)
		require.Equal(t, ColumnName(name), warnings[0].Column)
		r.Kind = Batch
		require.Empty(t, FindWarnings([]Row{r}, Capacity{}), "the deadline of a task is that of its start")
	}
	accelerated, other := consistent, consistent
	accelerated.Resources.Accelerators = 1
	other.Name, other.Tenant = "b", "Web"
	withoutAccelerators := Capacity{Workers: resource.Vector{MilliCPU: 1000}}
	require.Len(t, FindWarnings([]Row{accelerated}, withoutAccelerators), 1)
	require.Empty(t, FindWarnings([]Row{accelerated}, Capacity{}))
	warnings := FindWarnings([]Row{consistent, other}, Capacity{})
	require.Len(t, warnings, 1)
	require.Equal(t, ColTenant, warnings[0].Column)
}

func drawTable(t *rapid.T, label string) *Table {
	names := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), rapid.ID[string]).Draw(t, label)
	rows := make([]Row, len(names))
	for i, n := range names {
		rows[i] = sampleRow(n)
		rows[i].Weight = rapid.IntRange(1, 3).Draw(t, "weight")
	}
	return New(Revision(rapid.Uint64Range(1, 9).Draw(t, "revision")), rows)
}

// Guards against deltas that lose, add or reorder rows, and against a delta being applied to the wrong table.
func TestDeltaRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawTable(t, "from"), drawTable(t, "to")
		delta := Diff(from, to)
		got, err := from.Apply(to.Revision(), delta)
		require.NoError(t, err)
		require.Equal(t, to.Rows(), got.Rows())
		require.Equal(t, to.Digest(), got.Digest())
		back, err := got.Apply(from.Revision(), delta.Inverse())
		require.NoError(t, err)
		require.Equal(t, from.Rows(), back.Rows())
		require.Equal(t, len(delta) == 0, from.Digest() == to.Digest())
		if len(delta) > 0 {
			_, err = to.Apply(9, delta)
			require.Error(t, err)
		}
	})
}

// Guards against a merge that drops the change of one operator without reporting a conflict.
func TestMergeKeepsBothSides(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, mine, theirs := drawTable(t, "base"), drawTable(t, "mine"), drawTable(t, "theirs")
		rows, conflicts := Merge(base, mine, theirs)
		merged := New(0, rows)
		inConflict := make(map[ident.ClassName]bool)
		for _, c := range conflicts {
			inConflict[c.Name] = true
			require.False(t, sameRow(c.Base, c.Mine) || sameRow(c.Base, c.Theirs) || sameRow(c.Mine, c.Theirs))
		}
		for _, c := range Diff(base, mine) {
			if !inConflict[c.Name] {
				require.True(t, sameRow(c.After, merged.rowOf(c.Name)))
			}
		}
		for _, c := range Diff(base, theirs) {
			require.True(t, sameRow(c.After, merged.rowOf(c.Name)))
		}
	})
}

// Guards against an explanation that lacks the unit or the current effect of a value.
func TestExplain(t *testing.T) {
	tab := New(3, []Row{sampleRow("api"), sampleRow("shop")})
	e, err := Explain(tab, "api", ColWeight, 9)
	require.NoError(t, err)
	require.Contains(t, e.CurrentEffect, "2 of 4 parts (50.0 %)")
	e, err = Explain(tab, "api", ColRate, 9)
	require.NoError(t, err)
	require.Contains(t, e.CurrentEffect, "12.5 1/s for the whole fleet: 1.389 for each of 9 cells")
	for _, c := range Columns() {
		_, err := Explain(tab, "api", c.Name, 0)
		require.NoError(t, err)
	}
	_, err = Explain(tab, "none", ColRate, 9)
	require.Error(t, err)
	_, err = Explain(tab, "api", "none", 9)
	require.Error(t, err)
}

func BenchmarkDigest1100(b *testing.B) {
	rows := make([]Row, 1100)
	for i := range rows {
		rows[i] = sampleRow(fmt.Sprintf("class-%04d", i))
	}
	t := New(1, rows)
	for b.Loop() {
		t.Digest()
	}
}

// Guards against the operators' reference and the schema differing in a unit, range, default or effect.
func TestReferenceMatchesSchema(t *testing.T) {
	reference, err := os.ReadFile("../../docs/operators/table.md")
	require.NoError(t, err)
	for _, c := range Columns() {
		unit, value := c.Unit, c.Default
		if unit == "" {
			unit = "-"
		}
		if c.Required {
			value = "required"
		}
		line := strings.Join([]string{"| " + string(c.Name), unit, c.Range(), value, c.Effect + " |"}, " | ")
		require.Contains(t, string(reference), line+"\n")
	}
}
