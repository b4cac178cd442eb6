package table

const (
	// urgentWeight is the weight of urgent classes. Batch classes have weight 1, so that urgent work may take nearly all
	// workers.
	urgentWeight = 100
	// priorityEvictions bounds the evictions of one task of a class that has no limit of its own.
	priorityEvictions = 4
)

// SetPriority sets the kind, the weight and the evictions of a row whose class is described by a priority only.
// Priority 0 is urgent and may displace other work; all other priorities are batch work.
func (r *Row) SetPriority(priority int) {
	r.Kind, r.Weight, r.Evictions = Batch, 1, priorityEvictions
	if priority == 0 {
		r.Kind, r.Weight = LatencyCritical, urgentWeight
	}
}
