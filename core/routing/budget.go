package routing

const (
	// retryRatio is the number of retries allowed for each first attempt.
	retryRatio = 0.1
	// maxSavedRetries bounds the unused retries. It is also the number available at the start, so that classes with
	// little traffic can retry.
	maxSavedRetries = 10.0
)

// RetryBudget limits retries to a share of the traffic, so that they cannot multiply an overload. The zero value is a
// full budget.
type RetryBudget struct {
	used float64
}

// Deposit records a first attempt, which allows retryRatio of a retry.
func (b *RetryBudget) Deposit() {
	b.used = max(0, b.used-retryRatio)
}

// CanWithdraw reports whether the budget allows a retry.
func (b *RetryBudget) CanWithdraw() bool {
	return b.used+1 <= maxSavedRetries
}

// Withdraw records a retry.
func (b *RetryBudget) Withdraw() {
	b.used++
}
