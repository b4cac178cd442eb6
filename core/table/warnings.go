package table

import (
	"fmt"
	"maps"
	"slices"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// Capacity is the capacity of the fleet as far as it is known. A zero field is unknown and not checked.
type Capacity struct {
	Workers resource.Vector
	// TargetSlots is the number of requests that all targets together can run at one time.
	TargetSlots int
	// Cells is the number of cells over which a limit is divided.
	Cells int
}

// Warning reports a limit or weight that is allowed but probably not intended. It does not prevent a commit.
type Warning struct {
	Name    ident.ClassName
	Column  ColumnName
	Message string
}

// FindWarnings returns a warning for each limit that the fleet cannot meet or divide, that contradicts another one, or that
// is never used, for each rate that allows less than one request within the deadline, and for each tenant that holds nearly
// all weights.
func FindWarnings(rows []Row, c Capacity) []Warning {
	var warnings []Warning
	for _, r := range rows {
		warnings = append(warnings, rowWarnings(r, c)...)
		warnings = append(warnings, limitConflicts(r)...)
	}
	warnings = append(warnings, neverUsed(rows, c)...)
	return append(warnings, tenantWeightWarnings(rows)...)
}

func rowWarnings(r Row, c Capacity) []Warning {
	var warnings []Warning
	warn := func(col ColumnName, format string, args ...any) {
		warnings = append(warnings, Warning{r.Name, col, fmt.Sprintf(format, args...)})
	}
	limits := []struct {
		col       ColumnName
		want, has int64
		unit      string
	}{
		{ColProcessors, r.Resources.MilliCPU, c.Workers.MilliCPU, "thousandths of a processor"},
		{ColMemory, r.Resources.MemoryMB, c.Workers.MemoryMB, "MB"},
		{ColAccelerators, r.Resources.Accelerators, c.Workers.Accelerators, "accelerators"},
	}
	for _, l := range limits {
		if l.has > 0 && l.want > l.has {
			warn(l.col, "the limit is %d %s, but the fleet has %d", l.want, l.unit, l.has)
		}
	}
	if r.Kind == LatencyCritical && c.TargetSlots > 0 && r.Concurrency > c.TargetSlots {
		warn(ColConcurrency, "the limit is %d requests in progress, but the targets have %d slots", r.Concurrency, c.TargetSlots)
	}
	if r.Concurrency > 0 && r.Concurrency < c.Cells {
		warn(ColConcurrency, "the limit of %d is divided over %d cells; a cell without a part depends on loans", r.Concurrency, c.Cells)
	}
	if r.Rate > 0 && r.Deadline > 0 && r.Rate*r.Deadline.Seconds() < 1 {
		warn(ColRate, "%s/s allows less than one request within the deadline of %s", formatNumber(r.Rate), r.Deadline)
	}
	return warnings
}

// dominantWeightShare is the fraction of all weights above which one tenant leaves little to the others.
const dominantWeightShare = 0.9

// tenantWeightWarnings returns a warning for each tenant with more than dominantWeightShare of all weights.
func tenantWeightWarnings(rows []Row) []Warning {
	var warnings []Warning
	sums, total := TenantWeights(rows)
	if len(sums) < 2 {
		return nil
	}
	for _, tenant := range slices.Sorted(maps.Keys(sums)) {
		if part := float64(sums[tenant]) / float64(total); part > dominantWeightShare {
			warnings = append(warnings, Warning{
				Column:  ColWeight,
				Message: fmt.Sprintf("tenant %s has %.0f %% of all weights", tenant, 100*part),
			})
		}
	}
	return warnings
}

// TenantWeights returns the sum of the weights of each tenant's classes, and that of all classes.
func TenantWeights(rows []Row) (sums map[ident.TenantName]int, total int) {
	sums = make(map[ident.TenantName]int)
	for _, r := range rows {
		sums[r.Tenant] += r.Weight
		total += r.Weight
	}
	return sums, total
}
