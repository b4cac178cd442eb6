package routing

const (
	// retryShare is the part of first attempts that may be repeated.
	retryShare = 0.1
	// retryReserve is the most retries that can be saved up, and the number available at the start, so that classes
	// with little traffic can retry at all.
	retryReserve = 10.0
)

// RetryBudget bounds retries to a share of traffic, so that retries cannot multiply an overload. The zero value is full.
type RetryBudget struct {
	used float64
}

// Deposit notes a first attempt.
func (b *RetryBudget) Deposit() {
	b.used = max(0, b.used-retryShare)
}

// CanWithdraw reports whether a retry may be made.
func (b *RetryBudget) CanWithdraw() bool {
	return b.used+1 <= retryReserve
}

// Withdraw notes a retry.
func (b *RetryBudget) Withdraw() {
	b.used++
}
