package placement

// leavingFilter rules out workers that are shutting down.
type leavingFilter struct{}

func (leavingFilter) Admits(_ Snapshot, _ *Request, n NodeInfo) bool {
	return !n.Worker().Leaving
}
