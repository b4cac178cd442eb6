package placement

// evacuatedFilter rules out workers of data centres under evacuation.
type evacuatedFilter struct{}

func (evacuatedFilter) Admits(_ Snapshot, _ *Request, n NodeInfo) bool {
	return !n.Worker().Evacuated
}
