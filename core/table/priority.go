package table

const (
	// urgentWeight is the share of urgent classes beside that of a batch class, 1: urgent work may take nearly all workers.
	urgentWeight = 100
	// evictionsByPriority bounds how often a task of a class without a limit of its own gives way to urgent ones.
	evictionsByPriority = 4
)

// SetPriority gives a row the kind, the weight and the evictions of a class that is described by a priority only.
// Priority 0 is urgent and may make others give way; all others are batch work.
func (r *Row) SetPriority(priority int) {
	r.Kind, r.Weight, r.Evictions = Batch, 1, evictionsByPriority
	if priority == 0 {
		r.Kind, r.Weight = LatencyCritical, urgentWeight
	}
}
