package table

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// limitConflicts returns a warning for each limit of a class that another one of its limits keeps from having an effect, or
// makes useless.
func limitConflicts(r Row) []Warning {
	var warnings []Warning
	warn := func(col ColumnName, format string, args ...any) {
		warnings = append(warnings, Warning{r.Name, col, fmt.Sprintf(format, args...)})
	}
	if r.Rate > 0 && r.Deadline > 0 && r.Kind == LatencyCritical {
		// Requests that pass their deadline end, so that no more than those of one deadline are in progress or wait.
		most := max(1, int(math.Ceil(r.Rate*r.Deadline.Seconds())))
		if r.Concurrency > most {
			warn(ColConcurrency, "the limit of %d cannot be reached: %s/s within the deadline of %s are %d requests",
				r.Concurrency, formatNumber(r.Rate), r.Deadline, most)
		}
		if r.Queue > most {
			warn(ColQueue, "of %d waiting requests only %d can start within the deadline of %s at %s/s",
				r.Queue, most, r.Deadline, formatNumber(r.Rate))
		}
	}
	return warnings
}

// neverUsed returns a warning for each limit on a resource that the fleet does not have, and for each tenant whose name differs
// from another one only in letter case, so that neither gets the share that was meant.
func neverUsed(rows []Row, c Capacity) []Warning {
	var warnings []Warning
	tenants := make(map[ident.TenantName]bool)
	for _, r := range rows {
		tenants[r.Tenant] = true
		if r.Resources.Accelerators > 0 && c.Workers.MilliCPU > 0 && c.Workers.Accelerators == 0 {
			warnings = append(warnings, Warning{r.Name, ColAccelerators, "no worker has accelerators, so that the limit is never used"})
		}
	}
	names := slices.Sorted(maps.Keys(tenants))
	for i, a := range names {
		for _, b := range names[i+1:] {
			if strings.EqualFold(string(a), string(b)) {
				warnings = append(warnings, Warning{
					Column: ColTenant, Message: fmt.Sprintf("%s and %s are different tenants; their names differ only in letter case", a, b),
				})
			}
		}
	}
	return warnings
}
