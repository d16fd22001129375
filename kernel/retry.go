package kernel

const (
	// retryTokensPerSuccess is the part of a retry that each success adds to the budget.
	retryTokensPerSuccess = 0.1
	// maxRetryTokens bounds the retries that a budget can save up.
	maxRetryTokens = 20.0
	// MaxAttempts bounds the calls for one stage of one request.
	MaxAttempts = 4
)

// RetryBudget bounds retries and hedges of a pool to a share of its successes, so that
// retries cannot multiply the load of a failing pool.
type RetryBudget struct {
	// Tokens is the number of retries that may be made, between 0 and maxRetryTokens.
	Tokens float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() RetryBudget {
	return RetryBudget{Tokens: maxRetryTokens}
}

// WithSuccess returns the budget after a success.
func (b RetryBudget) WithSuccess() RetryBudget {
	b.Tokens = min(maxRetryTokens, b.Tokens+retryTokensPerSuccess)
	return b
}

// WithRetry returns the budget less one retry, and whether the retry may be made.
func (b RetryBudget) WithRetry() (RetryBudget, bool) {
	if b.Tokens < 1 {
		return b, false
	}
	b.Tokens--
	return b, true
}
